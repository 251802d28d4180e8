package node

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/claim"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/proxy"
	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/rules"
	"github.com/lentilflow/lentilflow/pkg/settings"
)

// Config is what a node runs with.
type Config struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Registry *prometheus.Registry // of the metrics of this node
}

// Node is one node of the mesh. It runs once.
type Node struct {
	settings  *settings.Settings
	log       *zap.Logger
	registry  *prometheus.Registry
	listeners *listeners

	monitor   monitor
	tables    *platform.TableClient
	objects   *platform.ObjectsClient
	roster    *membership.Roster
	holder    *distribution.Holder
	relay     *distribution.Relay
	publisher *publisher.Publisher
	upstream  *upstreamState
	callers   callers
	leaving   chan struct{} // closed when the drain starts
	claims    *claim.Claims
	notices   *crashguard.Table
	proxy     *proxy.Proxy
	calls     *http.Server // of the caller listener
}

// New binds the listeners and builds the node. Run must be called afterwards.
func New(cfg Config) (*Node, error) {
	l, err := bind(&cfg.Settings.Listeners)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: cfg.Settings, log: cfg.Log, registry: cfg.Registry, listeners: l, leaving: make(chan struct{})}
	n.openPlatform()
	n.buildOverlay()
	n.buildPublisher()
	n.upstream = &upstreamState{announce: n.roster.SetState, log: n.log}
	n.buildCalls()
	return n, nil
}

func (n *Node) openPlatform() {
	timeout := time.Duration(n.settings.Platform.Timeout)
	n.tables = platform.NewTable(platform.Config{URL: string(n.settings.Platform.Tables), Timeout: timeout})
	n.objects = platform.NewObjects(platform.Config{URL: string(n.settings.Platform.Objects), Timeout: timeout})
}

// table returns the table service with its outcomes recorded.
func (n *Node) table() platform.Table {
	return table{Table: n.tables, monitor: &n.monitor}
}

func (n *Node) buildOverlay() {
	self := n.settings.Entry(uint64(time.Now().UnixMilli()))
	n.roster = membership.NewRoster(self)
	n.holder = distribution.NewHolder()
	seeds := make([]string, len(n.settings.Seeds))
	for i, s := range n.settings.Seeds {
		seeds[i] = string(s)
	}
	n.relay = distribution.NewRelay(distribution.Config{
		Roster:        n.roster,
		Holder:        n.holder,
		Table:         n.table(),
		Objects:       n.objects,
		Seeds:         seeds,
		Log:           n.log,
		Registerer:    n.registry,
		IsPublisher:   func() bool { return n.publisher.Leading() },
		AsOf:          func() time.Time { return n.publisher.AsOf() },
		RecentCallers: n.callers.recent,
	})
}

func (n *Node) buildPublisher() {
	n.publisher = publisher.NewPublisher(publisher.Config{
		Table:     n.table(),
		Objects:   n.objects,
		Node:      n.id(),
		Check:     check,
		Candidate: n.candidate,
		Accept:    n.accept,
		Lease:     n.roster.SetPublisher,
		Log:       n.log.Named("publisher"),
	})
}

func (n *Node) id() model.NodeID { return model.NodeID(n.settings.Node) }

// check adapts the parser to what the publisher and the API need.
func check(name string, text []byte) []rules.Fault {
	_, faults := rules.Parse(name, text)
	return faults
}

// candidate reports whether this node may become the publisher: it is a zone
// root that knows what was accepted before and is not leaving.
func (n *Node) candidate() bool {
	return n.relay.Settled() && n.roster.Self().State < model.Draining && n.roster.View().Tree().IsZoneRoot(n.id())
}

// accept brings an accepted version into force here and starts its way through
// the overlay.
func (n *Node) accept(v model.VersionedText) error {
	if err := n.holder.Apply(v); err != nil {
		return err
	}
	n.relay.Publish()
	return nil
}

// missing says what keeps the node from being ready.
func (n *Node) missing() []string {
	var missing []string
	if !n.relay.Settled() {
		missing = append(missing, "start-up read: "+n.relay.State().Starting)
	}
	if n.holder.Active() == nil {
		missing = append(missing, "no version is in force")
	}
	if state := n.roster.Self().State; state >= model.Draining {
		missing = append(missing, "node is "+state.String())
	}
	return missing
}

func (n *Node) adminHandler() http.Handler {
	return admin.New(admin.Config{
		Node:     n.id(),
		Location: n.settings.Location(),
		Rules:    publisher.NewCommands(n.objects, check),
		History:  publisher.NewQueries(n.table(), n.objects),
		Store:    &n.monitor,
		Router:   router{holder: n.holder, roster: n.roster},
		States:   states{client: &http.Client{}, region: n.settings.Location().Region},
		Nudge:    n.publisher.Nudge,
		Missing:  n.missing,
		Metrics:  promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}),
		Timeout:  time.Duration(n.settings.Limits.AdminTimeout),
		Log:      n.log.Named("admin"),
	})
}
