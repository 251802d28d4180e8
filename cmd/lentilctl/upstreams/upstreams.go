// Package upstreams implements the command "lentilctl upstreams".
package upstreams

import (
	"cmp"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/cmd/lentilctl/status"
	"github.com/lentilflow/lentilflow/pkg/operator"
)

// Command lists the upstreams.
type Command struct {
	Service string `help:"List the upstreams of this service only." placeholder:"NAME"`
}

// Run prints every upstream with its state and load, as reported by the node on
// its VM.
func (c *Command) Run(env *cli.Env) error {
	ctx, cancel := env.RequestContext()
	defer cancel()
	s, err := env.Queries().Status(ctx)
	if err != nil {
		return err
	}
	all := []operator.Node{}
	for _, n := range s.Nodes {
		if c.Service == "" || n.Member.Service == c.Service {
			all = append(all, n)
		}
	}
	if c.Service != "" && len(all) == 0 {
		return merry.Errorf("no upstream of service %q is known", c.Service)
	}
	return env.Print(all, func(w io.Writer) {
		fmt.Fprintln(w, "NODE\tSERVICE\tREGION\tZONE\tSTATE\tVERSION\tBOOT\tSLOTS\tLIMIT\tRATE LIMIT\tRUNNING\tWAITING\tADDRESS")
		for _, n := range all {
			writeUpstream(w, &n)
		}
	})
}

func writeUpstream(w io.Writer, n *operator.Node) {
	m := &n.Member
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", m.Node, m.Service, m.Location.Region, m.Location.AvailabilityZone)
	if t := n.State; t != nil {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t", status.UpstreamState(t), cmp.Or(t.Software, "-"), t.Boot, t.Slots, t.Limit, status.RateLimit(t), t.Running, t.Waiting)
	} else {
		fmt.Fprint(w, "no answer\t-\t-\t-\t-\t-\t-\t-\t")
	}
	fmt.Fprintln(w, m.CallAddress)
}
