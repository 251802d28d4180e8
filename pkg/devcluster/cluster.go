package devcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/agent"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
	"github.com/lentilflow/lentilflow/pkg/standin/versions"
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
	// drainAfter is the time from the end of a rollout that was rolled back until the new
	// upstreams drain, and from then until they end.
	drainAfter = 2 * time.Second
	// callTimeout bounds a call of Config.Load, and maxLoad its rate per second.
	callTimeout = 2 * time.Second
	maxLoad     = 1000
	// exposureTolerance is the number of requests that a bad version may get beyond its
	// share. Services on a developer's machine have few.
	exposureTolerance = 50
)

// Config holds the parameters of Start.
type Config struct {
	Deployment      Deployment
	NodesPerService int // 1 to the constant NodesPerService
	FirstPort       int // lowest port of the first node
	StorePort       int
	Log             *zap.Logger // of all nodes
	// NewVersion is the software version of further upstreams of the service of the example
	// call, which get requests once a rollout is ordered; "" starts none. NewVersionFails is
	// the part of their responses that are failures.
	NewVersion      string
	NewVersionFails float64
	// Load is the number of example calls per second that the deployment makes itself.
	Load int
}

func (c *Config) check() error {
	if c.NewVersionFails < 0 || c.NewVersionFails > 1 {
		return merry.Errorf("failing part of the new version: %g (accepted: 0 to 1)", c.NewVersionFails)
	}
	if c.Load < 0 || c.Load > maxLoad {
		return merry.Errorf("load: %d (accepted: 0 to %d calls per second)", c.Load, maxLoad)
	}
	if c.NodesPerService < 1 || c.NodesPerService > NodesPerService {
		return merry.Errorf("nodes per service: %d (accepted: 1 to %d)", c.NodesPerService, NodesPerService)
	}
	last := c.FirstPort + portsPerNode*c.NodesPerService*(len(c.Deployment.Services)+1)
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
	newNodes  []*settings.Settings // beside the upstreams of the new version
	rollout   *versions.Supervisor
	store     *store.Endpoint
	upstreams []*upstream.Upstream
	ledger    upstream.Ledger
	cancel    context.CancelFunc
	cancelNew context.CancelFunc
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
	s := store.New()
	endpoint, err := s.Listen(address(c.cfg.StorePort))
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
		if err := c.startUpstream(s, ""); err != nil {
			return err
		}
		c.startNode(ctx, s)
	}
	if c.cfg.Load > 0 {
		c.running.Go(func() { c.makeCalls(ctx) })
	}
	if c.cfg.NewVersion != "" {
		c.rollout = &versions.Supervisor{Store: s, Service: c.cfg.Deployment.Example.Service, To: c.cfg.NewVersion, DrainAfter: drainAfter, LeaveAfter: drainAfter}
	}
	return nil
}

// StartNewVersion starts the upstreams of the new version, each with its node, and stops
// upstreams as the status of a rollout says. It is called once the deployment is ready,
// because the first version that its nodes see is the one in use.
func (c *Cluster) StartNewVersion(ctx context.Context) error {
	if c.rollout == nil {
		return nil
	}
	ctx, c.cancelNew = context.WithCancel(ctx)
	first := c.cfg.FirstPort + portsPerNode*len(c.nodes)
	for i := range c.cfg.NodesPerService {
		n := c.cfg.settings(c.cfg.Deployment.Zones[i%len(c.cfg.Deployment.Zones)], c.rollout.Service, first+portsPerNode*i)
		n.Name += "-" + c.cfg.NewVersion
		if err := c.startUpstream(n, c.cfg.NewVersion); err != nil {
			return err
		}
		c.newNodes = append(c.newNodes, n)
		c.startNode(ctx, n)
	}
	for i, u := range c.upstreams {
		switch {
		case i >= len(c.nodes):
			u.Set(upstream.Behaviour{BadPart: c.cfg.NewVersionFails})
			c.rollout.New = append(c.rollout.New, u)
		case c.nodes[i].Upstream.Service == c.rollout.Service:
			c.rollout.Old = append(c.rollout.Old, u)
		}
	}
	c.rollout.Start()
	return nil
}

// makeCalls makes the example call at each node in turn until ctx ends.
func (c *Cluster) makeCalls(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	tick := time.NewTicker(time.Second / time.Duration(c.cfg.Load))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n := c.nodes[i%len(c.nodes)]
		c.running.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(n.Listeners.Calls)+c.cfg.Deployment.Example.Path, nil)
			if err != nil {
				return
			}
			req.Host = c.cfg.Deployment.Example.Host
			req.Header.Set("Authorization", "Bearer "+c.cfg.Deployment.Example.Key)
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
}

func (c *Cluster) rulesStore() *platform.RulesStore {
	return &platform.RulesStore{Store: platform.NewStore(c.store.Address(), prometheus.NewRegistry(), zap.NewNop())}
}

func (c *Cluster) startUpstream(s *settings.Settings, software string) error {
	u, err := upstream.Start(upstream.Config{
		Service: s.Upstream.Service, Zone: s.AvailabilityZone, Slots: c.cfg.Deployment.Slots, ServiceTime: serviceTime,
		ReportAddress: string(s.Listeners.Reports), CallAddress: string(s.Listeners.Calls), Software: software,
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
		if c.rollout != nil && c.cancelNew != nil {
			c.rollout.Stop()
			c.cancelNew()
		}
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
	s.Rollouts.Tolerance, s.Rollouts.OnlyOrdered = exposureTolerance, "yes"
	s.Quota.Overage, s.Quota.Tolerance = quotaOverage, quotaTolerance
	s.Drain = settings.Drain{Announce: settings.Duration(drainAnnounce), Finish: settings.Duration(drainFinish)}
	return &s
}

func address(port int) string { return net.JoinHostPort(loopback, fmt.Sprint(port)) }

// NewVersion returns the software version of the further upstreams, "" if there are none.
func (c *Cluster) NewVersion() string { return c.cfg.NewVersion }

// AwaitVersionsInUse waits until the nodes of each service know which software version is in
// use. It returns an error if ctx ends or timeout passes before.
func (c *Cluster) AwaitVersionsInUse(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := operator.NewNodeClient()
	for !c.versionsInUseKnown(ctx, client) {
		select {
		case <-ctx.Done():
			return merry.Errorf("software version in use is not known everywhere after %s", timeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (c *Cluster) versionsInUseKnown(ctx context.Context, client *http.Client) bool {
	for _, n := range c.nodes {
		states, err := operator.RolloutsAt(ctx, client, string(n.Listeners.Messages))
		if err != nil || !slices.ContainsFunc(states, func(s rollout.State) bool { return s.Service == n.Upstream.Service }) {
			return false
		}
	}
	return true
}
