package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/balance"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/gateway"
	"github.com/lentilflow/lentilflow/pkg/gossip"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// Platform connects a node to the platform that it runs on.
type Platform interface {
	// Headers returns the names of the header fields that the platform defines.
	Headers() gateway.HeaderNames
	// Registry returns the registry of the nodes' rows in the store.
	Registry() fleet.Registry
	// RecoveryStore returns where the store keeps departures of upstreams, and records
	// of requests that crash upstreams.
	RecoveryStore() (recovery.Store, recovery.CrashStore)
	// ConfigSource returns a source that offers the operator's configurations to
	// h. The source calls onConfig with each version that comes into force and
	// the position of its row in the store, and onOrders with the orders of rollouts that
	// it reads, before a configuration that it reads with them. watchTime returns how long
	// a wait for a change may take, 0 for as long as the store permits.
	ConfigSource(h *config.Holder, onConfig func(config.Version, follow.Position), onOrders func(rollout.Reading), watchTime func() time.Duration) follow.Source
	// RolloutStore returns where the store keeps the statuses of rollouts.
	RolloutStore() rollout.Store
	// ReportEra records that another node has read from the store in an era. If it is
	// later than the one that the store has stated to this node, the sources that
	// wait for changes return follow.ErrHistoryLost.
	ReportEra(era follow.Era)
	// StoreSilence returns how long ago the store has last responded to this node,
	// or how long ago the node was started if it has not.
	StoreSilence() time.Duration
	// ServeReports adds the handlers for reports of the upstream on this VM to e
	// and passes the reports to u.
	ServeReports(e *echo.Echo, u ReportReceiver)
	// ServeReadiness adds the readiness check to e. ready reports whether this
	// node accepts new callers, and may be called concurrently.
	ServeReadiness(e *echo.Echo, ready func() bool)
}

// ReportReceiver receives the reports of the upstream on this VM. Its methods
// may be called concurrently.
type ReportReceiver interface {
	// Report applies a report and returns how it compares with the current state. It
	// returns an error if the report announces a departure that must not be
	// acknowledged yet.
	Report(upstream.Report) (upstream.Verdict, error)
	// Leave applies the departure of the boot id and returns how it compares with
	// the current state. It returns an error if the departure must not be
	// acknowledged yet.
	Leave(id string, start upstream.Start) (upstream.Verdict, error)
}

// Agent is one node.
type Agent struct {
	settings *settings.Settings
	path     string // of the settings file
	signals  *Signals
	level    zap.AtomicLevel
	log      *zap.Logger
	platform Platform

	configHolder *config.Holder
	fleetView    *fleet.View
	registry     fleet.Registry
	local        *gateway.Local
	gateway      *gateway.Gateway
	gossip       *gossip.Node
	quotas       *quotas
	budgets      *gateway.Budgets
	crashRecords *crashguard.MemoryRegistry
	// heldDepartures holds the departures of this node's upstream and of others;
	// departureSaver hands those of this node's upstream to others.
	heldDepartures *recovery.Departures
	departureSaver *recovery.Saver
	recoveryStore  recovery.Store
	crashStore     recovery.CrashStore
	crashesRead    atomic.Bool  // crashStore was read
	settledNodes   atomic.Int64 // answers of settled nodes since the start
	guard          *contain.Guard
	self           fleet.Member
	rollouts       *rolloutDriver
	// newVM says whether the first fleet that this process knew had no row of this
	// node; nil before that.
	newVM atomic.Pointer[bool]
	// versionsAsked says that other nodes were asked for what they know of rollouts.
	versionsAsked    atomic.Bool
	versionsKnownOne sync.Once

	callServer, peerServer *h1.Server
	messageEcho            *echo.Echo
	reportEcho             *echo.Echo
	readinessEcho          *echo.Echo

	drain    atomic.Pointer[settings.Drain]
	stopping atomic.Bool
	// findUpstreamOnce limits the request for the upstream's boot to one.
	findUpstreamOnce  sync.Once
	rowOutdated       chan struct{}                   // the row of this node is missing or wrong
	rowWrittenAt      atomic.Pointer[follow.Position] // nil before the first write
	configUnavailable atomic.Bool
	fleetUnavailable  atomic.Bool
	configLag         prometheus.Histogram
	// inForceSince is when the current version came into force.
	inForceSince atomic.Pointer[time.Time]
}

// Config holds the parameters of New.
type Config struct {
	Settings *settings.Settings
	// Path is the settings file, which is watched for changes. If it is empty,
	// nothing is watched.
	Path string
	// Level is the level of Log. It is set again whenever the settings file is
	// reloaded.
	Level    zap.AtomicLevel
	Log      *zap.Logger
	Metrics  *prometheus.Registry
	Platform Platform
	// Signals are those that the process receives; nil if the caller handles them.
	Signals *Signals
}

// New returns a node that has not started. It registers the node's metrics with
// c.Metrics, and panics if they are registered already.
func New(c Config) *Agent {
	s := c.Settings
	if c.Signals == nil {
		c.Signals = &Signals{}
	}
	began := time.Now()
	if s.FirstStart == "yes" {
		began = time.Time{} // there are no earlier processes
	}
	a := &Agent{
		settings: s, path: c.Path, signals: c.Signals, level: c.Level, log: c.Log, platform: c.Platform,
		configHolder: config.NewHolder(), fleetView: fleet.NewView(), registry: c.Platform.Registry(),
		budgets:      gateway.NewBudgets(float64(s.Retries.Ratio), float64(s.Retries.Extra), s.FirstStart != "yes"),
		crashRecords: crashguard.NewMemoryRegistry(time.Now), heldDepartures: recovery.NewDepartures(began),
		rowOutdated: make(chan struct{}, 1),
		self: fleet.Member{
			Node: model.NodeID(s.Name), Location: s.Location(), Service: s.Upstream.Service,
			CallAddress: string(s.Listeners.Peers), MessageAddress: string(s.Listeners.Messages),
		},
	}
	a.recoveryStore, a.crashStore = c.Platform.RecoveryStore()
	a.drain.Store(&s.Drain)
	a.guard = contain.New(c.Log, c.Metrics)
	names := c.Platform.Headers()
	metrics := gateway.NewMetrics(c.Metrics)
	link := shaping.NewLink(float64(s.Network.Bandwidth))
	table := rollout.NewTable(time.Duration(s.Rollouts.Rollback))
	a.gossip = &gossip.Node{
		Self: a.self, Config: a.configHolder, View: a.fleetView, Notices: a.crashRecords, Departures: a.heldDepartures, Log: c.Log,
		Serving:   func() bool { return a.local.Serving() },
		Client:    gossip.NewClient(),
		OnConfig:  func(v config.Version, from string) { a.onConfigInForce(v, zap.String("from_node", from)) },
		OnFleet:   a.onFleetChange,
		OnEra:     c.Platform.ReportEra,
		ApplyTime: time.Duration(s.Store.Apply), StoreSilence: c.Platform.StoreSilence,
		Guard: a.guard, Rollouts: table, Software: func() string { return a.local.Software() },
		OnRollouts: func(fresh []rollout.State, from model.NodeID) { a.rollouts.onRollouts(fresh, from) },
		OnCounts:   func(c rollout.Counts) { a.rollouts.onCounts(c) },
	}
	a.gossip.Init(time.Now())
	a.quotas = newQuotas(s, &a.self, a.gossip.SendDatagram, c.Platform.StoreSilence)
	a.gossip.OnQuotaDatagram = a.quotas.node.Handle
	c.Metrics.MustRegister(a.quotas.node.Collector(a.quotas.namedTeams))
	a.departureSaver = &recovery.Saver{
		Node: a.self.Node, Held: a.heldDepartures, Store: a.recoveryStore, Replicate: a.gossip.Replicate, Guard: a.guard, Log: c.Log,
	}
	a.local = gateway.NewLocal(&gateway.Local{
		Node: a.self.Node, Service: a.self.Service, Names: names, Log: c.Log, Metrics: metrics, Config: a.configHolder, CrashRecords: a.crashRecords, Link: link, Guard: a.guard, Load: loadPolicy(&s.Load),
		OnServingChange:    a.onServingChange,
		OnCrash:            a.onCrash,
		OnSuspectCompleted: a.onCompleted,
		OnDeparture:        a.onDeparture,
		Rollouts:           table, OnlyOrdered: s.Rollouts.OnlyOrdered == "yes",
	}, string(s.Upstream.Address))
	a.gateway = gateway.New(&gateway.Gateway{
		Names: names, Self: a.self, Config: a.configHolder, View: a.fleetView, Local: a.local,
		Remote: gateway.NewRemote(a.self.Node, names, a.configHolder), Picker: balance.NewPicker(), Budgets: a.budgets,
		Metrics: metrics, Log: c.Log, OnNewerConfig: a.gossip.NoteNewerConfig, Quota: a.quotas.node, Load: loadPolicy(&s.Load),
		Rollouts: table, OnRollouts: a.gossip.OnRollouts,
	})
	a.rollouts = &rolloutDriver{
		Table:  table,
		Bounds: rollout.Bounds{Exposure: float64(s.Rollouts.Exposure), Tolerance: float64(s.Rollouts.Tolerance), Rollback: time.Duration(s.Rollouts.Rollback)},
		Store:  c.Platform.RolloutStore(), Self: a.self, Local: a.local, View: a.fleetView, Gossip: a.gossip, Config: a.configHolder, Guard: a.guard, Log: c.Log,
		OnlyOrdered: s.Rollouts.OnlyOrdered == "yes", FirstStart: s.FirstStart == "yes",
	}
	a.rollouts.init(c.Metrics)
	a.callServer, a.peerServer = a.gateway.CallServer(), a.gateway.PeerServer()
	a.messageEcho, a.reportEcho, a.readinessEcho = a.newEcho(), a.newEcho(), a.newEcho()
	a.gossip.RegisterHandlers(a.messageEcho)
	a.messageEcho.GET(model.StatePath, a.serveState)
	a.messageEcho.GET(model.RolloutsPath, a.serveRollouts)
	a.messageEcho.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(c.Metrics, promhttp.HandlerOpts{})))
	c.Platform.ServeReports(a.reportEcho, reportReceiver{a})
	c.Platform.ServeReadiness(a.readinessEcho, a.ready)
	a.registerMetrics(c.Metrics)
	return a
}

// loadPolicy returns the decisions under heavy load that the settings switch on.
func loadPolicy(l *settings.HeavyLoad) gateway.LoadPolicy {
	return gateway.LoadPolicy{
		ReturningLate: l.ReturningLate == "yes", InnerFirst: l.InnerFirst == "yes", QueueLimit: l.QueueLimit == "yes", RefuseLate: l.RefuseLate == "yes",
		TeamShares: l.TeamShares == "yes", MoreChoices: l.MoreChoices == "yes", ReserveForInner: l.InnerReserve == "yes",
	}
}

const (
	// headerTimeout, readTimeout and maxHeaderBytes bound the requests to the
	// listeners of messages, reports and readiness: the time to read the header,
	// the time to read the whole request, and the size of the header. Messages
	// have at most 4 MB, which take a second on a link of 32 Mbit/s.
	headerTimeout  = 2 * time.Second
	readTimeout    = 10 * time.Second
	maxHeaderBytes = 32 << 10
)

func (a *Agent) newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Server.ReadHeaderTimeout, e.Server.ReadTimeout, e.Server.MaxHeaderBytes = headerTimeout, readTimeout, maxHeaderBytes
	e.Use(a.guard.Middleware)
	return e
}

func (a *Agent) registerMetrics(r *prometheus.Registry) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "lentilflow", Name: name, Help: help}, value))
	}
	gauge("config_version", "Version of the configuration in force.", func() float64 { return float64(a.configHolder.Version()) })
	gauge("teams", "Teams in the configuration in force.", func() float64 {
		if s := a.configHolder.Current(); s != nil {
			return float64(len(s.Teams))
		}
		return 0
	})
	gauge("config_behind_seconds", "For how long another node has had a newer configuration than this one; 0 if none is known.", func() float64 { return a.gossip.ConfigLag().Total.Seconds() })
	a.configLag = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "lentilflow", Name: "config_lag_seconds", Help: "How late versions came into force, after the first node known to have them.", Buckets: lagBuckets,
	})
	r.MustRegister(a.configLag)
	gauge("store_contact_age_seconds", "Time since the last response of the store to any node, as far as this one has heard.", func() float64 { return a.gossip.ContactAge().Seconds() })
	gauge("fleet_revision", "Revision of the known fleet.", func() float64 { return float64(a.fleetView.Current().Position.Revision) })
	gauge("fleet_era", "Era of the store to which the revision of the known fleet belongs.", func() float64 { return float64(a.fleetView.Current().Position.Era) })
	gauge("fleet_unconfirmed_nodes", "Known nodes whose rows a restored store has lost and that have not written them again.", func() float64 { return float64(a.fleetView.Current().Unconfirmed()) })
	gauge("fleet_nodes", "Nodes that are known.", func() float64 { return float64(len(a.fleetView.Current().Members)) })
	gauge("calls_active", "Calls without a complete answer.", func() float64 { return float64(a.callServer.Active()) })
	gauge("jobs_active", "Jobs of other nodes without a complete answer.", func() float64 { return float64(a.peerServer.Active()) })
	gauge("ready", "1 while the node takes new callers.", func() float64 { return boolFloat(a.ready()) })
	gauge("upstream_rate_limit", "Requests per second that the upstream of this node states as its limit, -1 without one.", a.local.RateLimit)
	gauge("rollout_phase", "Phase of the rollout of the service of this node: 0 none, 1 pending, 2 canary, 3 load test, 4 cutover, 5 rolled back, 6 completed.", a.rollouts.Phase)
	gauge("rollout_share", "Share of the calls of the service of this node that goes to the version that is rolled out.", a.rollouts.Share)
	gauge("serving", "1 while the upstream of this node takes work.", func() float64 { return boolFloat(a.local.Serving()) })
}

// lagBuckets are upper bounds in seconds. A version must be in force on all nodes
// within 2 or 3 s, depending on the deployment.
var lagBuckets = []float64{0.01, 0.03, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 20, 30}

func boolFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ready reports whether this node accepts new callers.
func (a *Agent) ready() bool {
	return !a.stopping.Load() && a.configHolder.Current() != nil && a.fleetView.Loaded()
}

// onConfigInForce handles a version that has come into force. source is the log
// field that says where it came from.
func (a *Agent) onConfigInForce(v config.Version, source zap.Field) {
	s, now := a.configHolder.Current(), time.Now()
	a.inForceSince.Store(&now)
	lag := a.gossip.ConfigUpdated()
	a.configLag.Observe(lag.Total.Seconds())
	a.log.Info("configuration is in force", zap.Uint64("version", uint64(v)), source, zap.Duration("behind_for", lag.Total),
		zap.Duration("known_for", lag.Known), zap.Int("routes", len(s.Routes)), zap.Int("services", len(s.Services)), zap.Int("teams", len(s.Teams)))
	a.local.Reconfigure()
	a.quotas.reconfigure(s)
	a.findUpstreamOnce.Do(func() { a.guard.Go("find upstream", a.local.DetectBoot) })
	a.gateway.ReleaseIfReady()
}

// onServingChange informs the other nodes whether the upstream of this node is
// serving.
func (a *Agent) onServingChange(serving bool) {
	a.fleetView.SetSoftware(a.self.Node, a.local.Software())
	a.fleetView.SetServing(a.self.Node, serving, time.Now())
	a.guard.Go("announce", func() { a.gossip.Announce(context.Background()) })
}
