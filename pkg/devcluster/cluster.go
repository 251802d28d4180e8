package devcluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/admin/client"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/node"
	"github.com/lentilflow/lentilflow/pkg/settings"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

// pollInterval separates two looks at the status while waiting.
const pollInterval = 100 * time.Millisecond

// Cluster is a running deployment.
type Cluster struct {
	cfg      Config
	nodes    []*settings.Settings
	platform *standin.Server
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failed   chan error
	stopOnce sync.Once
	closers  []func()
}

// Start starts the platform with the example rules file, the upstreams and
// the nodes. Stop must be called after a start without error.
func Start(cfg Config) (*Cluster, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Cluster{cfg: cfg, nodes: cfg.plan()}
	if err := checkPorts(cfg.PlatformPort, c.nodes); err != nil {
		return nil, err
	}
	c.failed = make(chan error, len(c.nodes))
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	if err := c.startUpstreams(); err != nil {
		return err
	}
	for _, s := range c.nodes {
		if err := c.startNode(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform starts the stand-in with the example rules as the file that
// operators edit.
func (c *Cluster) startPlatform(ctx context.Context) error {
	service := standin.NewService(standin.Config{})
	server, err := standin.NewServer(string(address(c.cfg.PlatformPort)), service)
	if err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	c.platform = server
	return c.putFirstRules(ctx)
}

func (c *Cluster) startNode(ctx context.Context, s *settings.Settings) error {
	s.Platform.Tables = settings.URL(c.platform.URL())
	s.Platform.Objects = settings.URL(c.platform.URL())
	n, err := node.New(node.Config{
		Settings: s,
		Log:      c.cfg.Log.With(zap.String("node", s.Node)),
		Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		return err
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		if err := n.Run(ctx); err != nil {
			c.failed <- merry.Prependf(err, "node %s", s.Node)
		}
	}()
	return nil
}

// Stop drains the nodes and then stops the upstreams and the platform.
func (c *Cluster) Stop() {
	c.stopOnce.Do(func() {
		c.cancel()
		c.running.Wait()
		for _, close := range c.closers {
			close()
		}
		if c.platform != nil {
			c.platform.Stop()
		}
	})
}

// Failed delivers the error of a node that has stopped by itself.
func (c *Cluster) Failed() <-chan error { return c.failed }

// Deployment returns what is running.
func (c *Cluster) Deployment() *Deployment { return &c.cfg.Deployment }

// PlatformURL returns the address of the platform's stand-in.
func (c *Cluster) PlatformURL() string { return c.platform.URL() }

// Nodes describes the running nodes.
func (c *Cluster) Nodes() []Node {
	nodes := make([]Node, len(c.nodes))
	for i, s := range c.nodes {
		nodes[i] = Node{
			Node:     model.NodeID(s.Node),
			Service:  s.Upstream.Service,
			Location: s.Location(),
			Calls:    string(s.Listeners.Calls),
			Admin:    string(s.Listeners.Admin),
		}
	}
	return nodes
}

// AwaitVersion waits until every node sees all nodes and has version v or a
// later one in force.
func (c *Cluster) AwaitVersion(ctx context.Context, v model.Version, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		missing := c.missing(ctx, v)
		if missing == "" {
			return nil
		}
		select {
		case err := <-c.failed:
			return err
		case <-ctx.Done():
			return merry.Errorf("version %d is not in force everywhere after %s: %s", v, limit, missing)
		case <-time.After(pollInterval):
		}
	}
}

// missing says which node is not there yet, empty if all are.
func (c *Cluster) missing(ctx context.Context, v model.Version) string {
	texts := make([]string, len(c.nodes))
	var g errgroup.Group
	for i, s := range c.nodes {
		g.Go(func() error {
			status, err := client.NewClient(string(s.Listeners.Admin)).Status(ctx)
			texts[i] = c.judge(s.Node, status, err, v)
			return nil
		})
	}
	_ = g.Wait() // judge keeps the errors
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

func (c *Cluster) judge(name string, s admin.Status, err error, v model.Version) string {
	switch {
	case err != nil:
		return err.Error()
	case s.Summary.Nodes < len(c.nodes):
		return fmt.Sprintf("node %s knows %d of %d nodes", name, s.Summary.Nodes, len(c.nodes))
	case s.Highest < v || s.Summary.InForce < len(c.nodes):
		return fmt.Sprintf("node %s sees version %d in force on %d of %d nodes", name, s.Highest, s.Summary.InForce, len(c.nodes))
	default:
		return ""
	}
}
