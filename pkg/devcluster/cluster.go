package devcluster

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/agent"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
	"github.com/lentilflow/lentilflow/platform"
)

// Default ports of a development deployment on loopback.
const (
	DefaultStorePort = 7390
	DefaultFirstPort = 7400 // lowest port of the first node
	portsPerNode     = 10   // ports reserved for each node, in the order of the nodes; six are used
)

// Offsets of the ports of a node from its lowest port.
const (
	callsPort = iota
	peersPort
	messagesPort
	reportsPort
	readinessPort
	upstreamPort
)

const (
	loopback = "127.0.0.1"
	// drainAnnounce and drainFinish are shorter than the defaults because all
	// nodes of a development deployment stop together.
	drainAnnounce = 100 * time.Millisecond
	drainFinish   = 3 * time.Second
	// quotaOverage and quotaTolerance let teams with small limits use them whole.
	quotaOverage   = 0.1
	quotaTolerance = 20
	// serviceTime is how long an upstream runs a request.
	serviceTime = 5 * time.Millisecond
	// pollInterval is the pause between two requests for the status while waiting.
	pollInterval = 100 * time.Millisecond
)

// Config holds the parameters of Start.
type Config struct {
	Deployment      Deployment
	NodesPerService int // 1 to the constant NodesPerService
	FirstPort       int // lowest port of the first node
	StorePort       int
	Log             *zap.Logger // of all nodes
}

func (c *Config) check() error {
	if c.NodesPerService < 1 || c.NodesPerService > NodesPerService {
		return merry.Errorf("nodes per service: %d (accepted: 1 to %d)", c.NodesPerService, NodesPerService)
	}
	last := c.FirstPort + portsPerNode*c.NodesPerService*len(c.Deployment.Services)
	for name, port := range map[string]int{"store port": c.StorePort, "first port": c.FirstPort, "last port": last} {
		if port < 1 || port > 65535 {
			return merry.Errorf("%s: %d (accepted: 1 to 65535)", name, port)
		}
	}
	return nil
}

// Cluster is a running deployment. Its methods are safe for concurrent use.
type Cluster struct {
	cfg       Config
	nodes     []*settings.Settings
	store     *store.Endpoint
	upstreams []*upstream.Upstream
	ledger    upstream.Ledger
	cancel    context.CancelFunc
	running   sync.WaitGroup
	failed    chan error
	stopOnce  sync.Once
}

// Start starts the store with the example rules file, the upstreams and the
// nodes. It does not wait until the nodes are ready; AwaitVersion does. Stop must
// be called after a start without error.
func Start(cfg Config) (*Cluster, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Cluster{cfg: cfg, nodes: cfg.plan()}
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
	endpoint, err := store.New().Listen(address(c.cfg.StorePort))
	if err != nil {
		return merry.Prepend(err, "store")
	}
	c.store = endpoint
	commands := operator.Commands{Store: c.rulesStore(), Client: operator.NewNodeClient()}
	_, faults, err := commands.Put(ctx, c.cfg.Deployment.Name, string(c.cfg.Deployment.Rules), operator.Tag{})
	if err != nil || len(faults) > 0 {
		return merry.Errorf("example rules of %s: %v %w", c.cfg.Deployment.Name, faults, err)
	}
	for _, s := range c.nodes {
		if err := c.startUpstream(s); err != nil {
			return err
		}
		c.startNode(ctx, s)
	}
	return nil
}

func (c *Cluster) rulesStore() *platform.RulesStore {
	return &platform.RulesStore{Store: platform.NewStore(c.store.Address(), prometheus.NewRegistry(), zap.NewNop())}
}

func (c *Cluster) startUpstream(s *settings.Settings) error {
	u, err := upstream.Start(upstream.Config{
		Service: s.Upstream.Service, Zone: s.AvailabilityZone, Slots: c.cfg.Deployment.Slots, ServiceTime: serviceTime,
		ReportAddress: string(s.Listeners.Reports), CallAddress: string(s.Listeners.Calls),
	}, string(s.Upstream.Address), &c.ledger)
	if err != nil {
		return merry.Prependf(err, "upstream of node %s", s.Name)
	}
	c.upstreams = append(c.upstreams, u)
	return nil
}

func (c *Cluster) startNode(ctx context.Context, s *settings.Settings) {
	log, registry := c.cfg.Log.With(zap.String("node", s.Name)), prometheus.NewRegistry()
	a := agent.New(agent.Config{
		Settings: s, Level: zap.NewAtomicLevel(), Log: log, Metrics: registry, Platform: platform.New(s, registry, log),
	})
	c.running.Go(func() {
		if err := a.Run(ctx); err != nil {
			c.failed <- merry.Prependf(err, "node %s", s.Name)
		}
	})
}

// Stop drains the nodes and then stops the upstreams and the store. Further calls
// have no effect.
func (c *Cluster) Stop() {
	c.stopOnce.Do(func() {
		c.cancel()
		c.running.Wait()
		for _, u := range c.upstreams {
			u.Crash()
		}
		if c.store != nil {
			c.store.Close()
		}
	})
}

// Failed returns the channel that receives the error of each node that fails. An
// error that AwaitVersion returns is not received again.
func (c *Cluster) Failed() <-chan error { return c.failed }

// Deployment returns the deployment that is running.
func (c *Cluster) Deployment() *Deployment { return &c.cfg.Deployment }

// StoreAddress returns the address of the store's stand-in.
func (c *Cluster) StoreAddress() string { return c.store.Address() }

// Nodes returns the settings of the running nodes. They must not be modified.
func (c *Cluster) Nodes() []*settings.Settings { return c.nodes }

// AwaitVersion waits until every node has version v or a later one in force and
// knows all nodes, and every upstream is serving. It returns an error if a node
// fails, or if ctx ends or timeout passes before.
func (c *Cluster) AwaitVersion(ctx context.Context, v model.Version, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	queries := operator.Queries{Store: c.rulesStore(), Client: operator.NewNodeClient()}
	for {
		s, err := queries.Status(ctx)
		if err == nil && c.inForceEverywhere(&s, v) {
			return nil
		}
		select {
		case err := <-c.failed:
			return err
		case <-ctx.Done():
			return merry.Errorf("version %d is not in force everywhere after %s: %d of %d nodes have it: %w", v, timeout, s.InForce, len(c.nodes), err)
		case <-time.After(pollInterval):
		}
	}
}

// inForceEverywhere reports whether s meets the condition of AwaitVersion.
func (c *Cluster) inForceEverywhere(s *operator.Status, v model.Version) bool {
	if len(s.Nodes) < len(c.nodes) {
		return false
	}
	for _, n := range s.Nodes {
		if n.State == nil || n.State.Version < v || !n.State.Serving || n.State.Nodes < len(c.nodes) {
			return false
		}
	}
	return true
}

// plan returns the settings of every node. The first upstream of each service
// is in the first zone, the second one in the second zone, and so on.
func (c *Config) plan() []*settings.Settings {
	var nodes []*settings.Settings
	for i := range c.NodesPerService {
		for _, service := range c.Deployment.Services {
			zone := c.Deployment.Zones[i%len(c.Deployment.Zones)]
			nodes = append(nodes, c.settings(zone, service, c.FirstPort+portsPerNode*len(nodes)))
		}
	}
	return nodes
}

func (c *Config) settings(zone model.Location, service string, firstPort int) *settings.Settings {
	s := settings.Default()
	s.Name = fmt.Sprintf("%s-%s", zone.AvailabilityZone, service)
	s.Region, s.AvailabilityZone = string(zone.Region), string(zone.AvailabilityZone)
	at := func(offset int) settings.Address { return settings.Address(address(firstPort + offset)) }
	s.Listeners = settings.Listeners{
		Calls: at(callsPort), Peers: at(peersPort), Messages: at(messagesPort), Reports: at(reportsPort), Readiness: at(readinessPort),
	}
	s.Upstream = settings.Upstream{Service: service, Address: at(upstreamPort)}
	s.Store.Address = settings.Address(address(c.StorePort))
	s.Quota.Overage, s.Quota.Tolerance = quotaOverage, quotaTolerance
	s.Drain = settings.Drain{Announce: settings.Duration(drainAnnounce), Finish: settings.Duration(drainFinish)}
	return &s
}

func address(port int) string { return net.JoinHostPort(loopback, fmt.Sprint(port)) }
