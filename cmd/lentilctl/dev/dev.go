// Package dev implements the command "lentilctl dev".
package dev

import (
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/devcluster"
)

// startTimeout bounds the time until version 1 is in force on every node.
const startTimeout = 30 * time.Second

// Command runs a deployment on loopback until SIGINT or SIGTERM.
type Command struct {
	Deployment      string  `help:"Deployment to run: ${enum}." enum:"bertolucci,haneul" default:"bertolucci"`
	NodesPerService int     `help:"Upstreams of each service, 1 to 6, with a node each. Three are one in each region, six one in each availability zone." default:"6"`
	FirstPort       int     `help:"First of the ports of the nodes; each node takes ten." default:"7400"`
	StorePort       int     `help:"Port of the stand-in of the platform's store." default:"7390"`
	NewVersion      string  `help:"Software version of further upstreams of one service, which get requests once a rollout is ordered; \"\" starts none." default:"v2"`
	NewVersionFails float64 `help:"Part of the responses of the new version that are failures, 0 to 1, to see it rolled back."`
	Load            int     `help:"Calls per second that the deployment makes itself; a rollout is judged by them." default:"60"`
	LogLevel        string  `help:"Least severe level that is logged: ${enum}." enum:"debug,info,warn,error" default:"error"`
}

// Run starts the deployment, prints its addresses and waits for the end of
// env.Context. It returns an error if the deployment does not start or a node
// fails.
func (c *Command) Run(env *cli.Env) error {
	deployment, err := devcluster.Find(c.Deployment)
	if err != nil {
		return err
	}
	log, err := c.logger()
	if err != nil {
		return err
	}
	cluster, err := devcluster.Start(devcluster.Config{
		Deployment:      deployment,
		NodesPerService: c.NodesPerService,
		FirstPort:       c.FirstPort,
		StorePort:       c.StorePort,
		Log:             log,
		NewVersion:      c.NewVersion,
		NewVersionFails: c.NewVersionFails,
		Load:            c.Load,
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if err := cluster.AwaitVersion(env.Context, 1, startTimeout); err != nil {
		return err
	}
	if err := cluster.AwaitVersionsInUse(env.Context, startTimeout); err != nil {
		return err
	}
	if err := cluster.StartNewVersion(env.Context); err != nil {
		return err
	}
	if err := env.Print(cluster.Nodes(), func(w io.Writer) { write(w, cluster) }); err != nil {
		return err
	}
	select {
	case <-env.Context.Done():
		env.Infof("stopping")
		return nil
	case err := <-cluster.Failed():
		return merry.Prepend(err, "deployment stopped")
	}
}

func (c *Command) logger() (*zap.Logger, error) {
	cfg := zap.NewDevelopmentConfig()
	level, err := zap.ParseAtomicLevel(c.LogLevel)
	if err != nil {
		return nil, err
	}
	cfg.Level = level
	cfg.DisableStacktrace = true
	return cfg.Build()
}

func write(w io.Writer, cluster *devcluster.Cluster) {
	d := cluster.Deployment()
	fmt.Fprintf(w, "deployment %s: version 1 in force on %d nodes\n\n", d.Name, len(cluster.Nodes()))
	fmt.Fprintln(w, "NODE\tREGION\tZONE\tCALLS\tMESSAGES")
	for _, n := range cluster.Nodes() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", n.Name, n.Region, n.AvailabilityZone, n.Listeners.Calls, n.Listeners.Messages)
	}
	store := cluster.StoreAddress()
	fmt.Fprintf(w, "\nstore %s\n\ntry in another terminal:\n", store)
	calls := cluster.Nodes()[0].Listeners.Calls
	fmt.Fprintf(w, "  curl -i -H 'Host: %s' -H 'Authorization: Bearer %s' http://%s%s\n", d.Example.Host, d.Example.Key, calls, d.Example.Path)
	fmt.Fprintf(w, "  curl -i -H 'Host: %s' http://%s%s   # no key: 401\n", d.Example.Host, calls, d.Example.Path)
	fmt.Fprintf(w, "  curl -i -H 'Host: %s' http://%s%s   # public\n", d.Example.Host, calls, d.Example.Public)
	fmt.Fprintf(w, "  ./bin/lentilctl teams --store %s\n", store)
	fmt.Fprintf(w, "  EDITOR='sed -i s/%s/%s/' ./bin/lentilctl rules edit --store %s\n", d.Example.Before, d.Example.After, store)
	fmt.Fprintf(w, "  ./bin/lentilctl status --store %s\n", store)
	if v := cluster.NewVersion(); v != "" {
		fmt.Fprintf(w, "  ./bin/lentilctl rollouts start %s %s 15s --store %s\n", d.Example.Service, v, store)
	}
	fmt.Fprintf(w, "\nCtrl-C stops the deployment.\n")
}
