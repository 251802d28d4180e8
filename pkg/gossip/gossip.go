package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/catchup"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/contact"
	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/relay"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

const (
	// syncPeriod is the mean time between two digests that a node sends, unless
	// urgentSyncPeriod applies.
	syncPeriod = 2400 * time.Millisecond
	// urgentSyncPeriod replaces syncPeriod while the node is isolated (see
	// isolated) or has no configuration.
	urgentSyncPeriod = 300 * time.Millisecond
	// configLagTimeout is how long a node must have been behind for its periodic
	// digests to request the newer configuration, and for a log line. It covers the
	// pause between two polls of the store.
	configLagTimeout = 800 * time.Millisecond
	// fleetLagTimeout is the same for the fleet, whose watch pauses longer. A new
	// VM need not be used at once.
	fleetLagTimeout = 2500 * time.Millisecond
	// messageTimeout bounds one message and its response. The latency between
	// regions is 24 ms, and a node with a third of a core may be busy.
	messageTimeout = time.Second
	// maxParallelSends bounds the messages that are sent at the same time when one
	// is sent to many nodes. Sending to n nodes takes as long as n/16 exchanges in
	// sequence.
	maxParallelSends = 16
	// maxMessageBytes bounds a message before compression, in bytes. A
	// configuration of 1,000 routes has about 300 KB, a fleet of 2,800 nodes about
	// 600 KB.
	maxMessageBytes = 4 << 20
)

// Node sends and receives the messages of one node. Its fields must be set
// before Init, except Datagrams, which must be set before RunBeacons and
// ReadDatagrams are called. They must not change afterwards. After Init the
// methods are safe for concurrent use. OnConfig and OnFleet may be called
// concurrently.
type Node struct {
	// Self is this node as a member of the fleet.
	Self fleet.Member
	// Config and View are the configuration and the fleet of this node. Newer ones
	// from other nodes are applied to them.
	Config *config.Holder
	View   *fleet.View
	// Notices records the crash notices of other nodes.
	Notices crashguard.Registry
	// Departures holds the departures of this node's upstream and of others.
	Departures *recovery.Departures
	// Serving reports whether this node accepts calls.
	Serving func() bool
	// Software returns the version of the software of this node's upstream, "" if it is not
	// known. Nil means that it never is.
	Software func() string
	// Rollouts is what this node knows of rollouts, nil if it takes no part in them.
	// OnRollouts is called with what other nodes have added, and OnCounts with the counts
	// that another node sends to this one as a coordinator. Several calls may run at the
	// same time.
	Rollouts   *rollout.Table
	OnRollouts func(fresh []rollout.State, from model.NodeID)
	OnCounts   func(rollout.Counts)
	Client     *http.Client
	Log        *zap.Logger
	// OnConfig is called when a version from another node is in force. from is the
	// name of that node.
	OnConfig func(v config.Version, from string)
	// OnFleet is called when an update from another node was applied to the fleet.
	// removed is empty if the whole fleet was replaced.
	OnFleet func(removed []model.NodeID)
	// OnStoreSuspected is called on a node that follows the store when the store may be
	// silent: another node has had a newer configuration since a time, or the store does
	// not respond to another node. Nil means that nothing is to be done.
	OnStoreSuspected func(since time.Time)
	// OnConnectionsSilent is called when the open connections to the store may have fallen
	// silent at a time or before.
	OnConnectionsSilent func(at time.Time)
	// OnContactDue is called when this node has neither received a response of the store
	// nor heard of one for too long. It reports whether this node follows the
	// configuration and asks the store now.
	OnContactDue func(now time.Time) (asks bool)
	// OnEra is called when another node has a fleet of a later era of the store than
	// this node.
	OnEra func(follow.Era)
	// ApplyTime is the time within which a change must be in force. Below
	// relay.MinApplyTime every node follows the store.
	ApplyTime time.Duration
	// Datagrams is the socket for the datagrams of the zone. It is bound to the
	// port of Self.MessageAddress.
	Datagrams *net.UDPConn
	// OnQuotaDatagram is called with each datagram whose first byte is quota.FirstByte,
	// one at a time. The bytes are valid until it returns. If it is nil, the datagrams are
	// ignored.
	OnQuotaDatagram func(b []byte, from netip.AddrPort)
	// Guard starts goroutines and recovers their panics.
	Guard *contain.Guard

	// StoreSilence returns how long ago the store has last responded to this node;
	// nil if that is not known.
	StoreSilence func() time.Duration

	startTime         time.Time
	beaconTrigger     chan struct{}
	compressMu        sync.Mutex
	compressionSource *config.Configuration // from which compressedConfig was made
	compressedConfig  []byte
	startNanos        int64
	sequence          atomic.Uint64
	storeUnavailable  atomic.Bool
	settled           atomic.Bool
	handedOver        sync.Map // of fleet.Member: the nodes to which the departures were handed over
	syncTrigger       chan struct{}
	catchUpTrigger    chan struct{}
	configLag         catchup.Tracker
	configSince       atomic.Pointer[time.Time] // when the version in force came into force at some node
	fleetLag          catchup.Tracker
	announcer         catchup.Announcer // of the version of the configuration
	forwarder         catchup.Announcer // of a version that this node knows of and does not have
	silence           silence
	contact           *contact.Tracker // mu must be held
	followers         followers        // mu must be held
	noticedVersion    config.Version   // in the last notice; mu must be held
	forwardsKnown     atomic.Bool      // the next datagram states a version that this node does not have
	mu                sync.Mutex
	lastStates        map[model.NodeID]stateOrder
	rolloutLag        rolloutLag
	zone              *relay.Zone
	zoneNodes         rankedNodes
	pendingStates     []State                         // to be forwarded in the zone
	zoneVersions      map[model.NodeID]config.Version // of the nodes of the zone that send beacons
}

// stateOrder identifies the newest state that was received of a node. started
// and sequence are those of the State.
type stateOrder struct {
	started  int64
	sequence uint64
	at       time.Time // of the receipt
	software string
	serving  bool
}

// restartGracePeriod is how long after the last state of a node a state with an
// earlier start time is ignored. After that it is accepted, because the clock
// of the node may have been set back before a restart. States that arrive late
// are seconds old.
const restartGracePeriod = 5 * time.Second

// olderThan reports whether s replaces o.
func (o *stateOrder) olderThan(s *State, now time.Time) bool {
	switch {
	case s.Started == o.started:
		return s.Sequence > o.sequence
	case s.Started < o.started:
		return now.Sub(o.at) > restartGracePeriod
	}
	return true
}

// Init prepares n for use. It must be called once, before any other method. now
// is the start time that orders the states of this node.
func (n *Node) Init(now time.Time) {
	n.startNanos = now.UnixNano()
	n.startTime = now
	n.syncTrigger, n.beaconTrigger, n.catchUpTrigger = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	n.zoneVersions = make(map[model.NodeID]config.Version)
	n.zone = relay.NewZone(n.Self.Node, 0)
	n.contact = contact.NewTracker(0)
	n.zone.AllFollow = n.ApplyTime < relay.MinApplyTime
	n.lastStates = make(map[model.NodeID]stateOrder)
}

// SetStoreAvailable records whether the store responds to this node. A change
// is sent to the zone; while the store is unavailable, a sync is triggered.
func (n *Node) SetStoreAvailable(available bool) {
	if n.storeUnavailable.Swap(!available) != !available {
		n.TriggerBeacon()
		if !available {
			n.Guard.Go("warn of silent store", n.warnOfSilentStore)
		}
	}
	n.triggerCatchUp()
	if !available {
		n.TriggerSync()
	}
}

// TriggerSync makes Run exchange digests with another node at once. It does not
// block.
func (n *Node) TriggerSync() {
	select {
	case n.syncTrigger <- struct{}{}:
	default:
	}
}

// RegisterHandlers adds the message handlers to e.
func (n *Node) RegisterHandlers(e *echo.Echo) {
	e.POST(pathSync, n.handleSync)
	e.POST(pathCrash, n.handleCrash)
	e.POST(pathStates, n.handleStates)
	e.POST(pathDepartures, n.handleDepartures)
	e.POST(pathRecover, n.handleRecover)
	e.POST(pathHoldings, n.handleHoldings)
}

func (n *Node) digest() Digest { return n.digestWith(n.View.Current()) }

// digestWith returns the digest of this node with the fleet f.
func (n *Node) digestWith(f *fleet.Snapshot) Digest {
	s := n.ownState()
	return Digest{
		From: n.Self, Serving: s.Serving, NeedsUpdate: n.needsUpdate(time.Now()),
		ConfigVersion: n.Config.Version(), ConfigAge: n.configAge(time.Now()), FleetRevision: f.Position.Revision, FleetEra: f.Position.Era, MembersDigest: f.Digest,
		TeamsUnknown: n.Config.TeamsUnknown(), RefusedDigest: n.Notices.RefusedDigest(), Started: s.Started, Sequence: s.Sequence, Software: s.Software, RolloutDigest: n.rolloutDigest(),
	}
}

// isolated reports whether this node gets updates neither from the store nor
// from a relay.
func (n *Node) isolated() bool { return n.storeUnavailable.Load() && !n.hasHealthyRelay() }

// needsUpdate reports whether this node requests updates from other nodes: it
// is isolated, has no configuration or one without its teams, or has been behind
// another node for longer than a read of the store takes.
func (n *Node) needsUpdate(now time.Time) bool {
	return n.isolated() || n.Config.Current() == nil || n.Config.TeamsUnknown() || n.configLag.Lag(now).Known > configLagTimeout ||
		n.fleetLag.Lag(now).Known > fleetLagTimeout
}

func (n *Node) handleSync(c echo.Context) error {
	var d Digest
	err := readMessage(c, &d)
	if err == nil {
		err = d.From.Check()
	}
	if err != nil {
		n.Log.Warn("message from another node is invalid", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.applyDigestState(d)
	f := n.View.Current()
	u := Update{Digest: n.digestWith(f)}
	if s := n.Config.Current(); d.NeedsUpdate && s != nil {
		n.addConfiguration(&u, s.Configuration, &d)
	}
	if d.NeedsUpdate {
		u.FleetChange, u.Nodes = n.fleetSince(f, d.fleetPosition())
	}
	if d.RefusedDigest != u.RefusedDigest {
		u.Crashes = n.crashRecords(true)
	}
	if d.RolloutDigest != u.RolloutDigest {
		u.Rollouts, u.States = n.rolloutStates(), n.exceptionalStates()
	}
	n.updateLag(&d)
	if u.NeedsUpdate && (d.ConfigVersion > u.ConfigVersion || d.fleetPosition().After(u.fleetPosition())) {
		n.Guard.Go("ask back", func() { n.syncWith(context.Background(), d.From) })
	}
	return writeUpdate(c, &u)
}

// addConfiguration adds c to the update for the sender of d if it lacks c, as a change
// if possible. A change of a copy without its teams would not result in c.
func (n *Node) addConfiguration(u *Update, c *config.Configuration, d *Digest) {
	if c.Version < d.ConfigVersion || c.Version == d.ConfigVersion && (!d.TeamsUnknown || c.TeamsUnknown) {
		return
	}
	u.WithTeams = !c.TeamsUnknown
	if base := n.Config.Recent(d.ConfigVersion); base != nil && !base.TeamsUnknown && !d.TeamsUnknown {
		u.ConfigurationChange = config.Diff(base, c)
	} else {
		u.Configuration = n.compressConfiguration(c)
	}
}

func (n *Node) handleCrash(c echo.Context) error {
	var notice CrashNotice
	if err := readMessage(c, &notice); err != nil || notice.Fingerprint == (crashguard.Fingerprint{}) || notice.Service == "" || len(notice.Service) > fleet.MaxNameBytes {
		n.Log.Warn("crash notice is invalid", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	if notice.Crash == nil {
		if err := n.Notices.ReportCompleted(c.Request().Context(), notice.Fingerprint); err != nil {
			n.Log.Warn("completion of a suspected request could not be recorded", zap.Stringer("fingerprint", notice.Fingerprint), zap.Error(err))
		}
		return c.NoContent(http.StatusNoContent)
	}
	r := crashguard.Record{Service: notice.Service, Crashes: []crashguard.Crash{notice.Crash.ReceivedAt(time.Now())}}
	n.Notices.Merge(notice.Fingerprint, r)
	n.Log.Info("crash of an upstream was reported by another node", zap.Stringer("fingerprint", notice.Fingerprint),
		zap.String("service", notice.Service), zap.String("at", string(notice.Crash.Upstream)))
	return c.NoContent(http.StatusNoContent)
}

// fleetSince returns the update of the fleet for a node that is at the position
// after: the changes since then if they are known, otherwise all nodes of f.
func (n *Node) fleetSince(f *fleet.Snapshot, after follow.Position) (*fleet.Change, []fleet.Member) {
	if !n.View.Loaded() || !f.Position.After(after) {
		return nil, nil
	}
	if c, ok := n.View.ChangesSince(after); ok {
		return &c, nil
	}
	return nil, f.AllRegistered()
}

// applyDigestState applies the state that the sender of a digest reports.
func (n *Node) applyDigestState(d Digest) {
	n.applyStates([]State{{Node: d.From.Node, Serving: d.Serving, Started: d.Started, Sequence: d.Sequence, Software: d.Software}})
}

// RemoveNode deletes what is known of a node that has left the fleet.
func (n *Node) RemoveNode(id model.NodeID) {
	n.configLag.Forget(id)
	n.fleetLag.Forget(id)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lastStates, id)
	delete(n.zoneVersions, id)
}

// Run exchanges digests with random nodes until ctx ends. It returns nil.
func (n *Node) Run(ctx context.Context) error {
	for {
		period := syncPeriod
		if n.isolated() || n.Config.Current() == nil {
			period = urgentSyncPeriod
		}
		// Jitter spreads the messages of nodes that started at the same time: the
		// delay is 0.5 to 1.5 periods.
		t := time.NewTimer(period/2 + rand.N(period))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		case <-n.syncTrigger:
			t.Stop()
		}
		if m, ok := n.randomNode(); ok {
			n.syncWith(ctx, m)
		}
	}
}

// syncWith exchanges digests with m within messageTimeout and applies its
// updates.
func (n *Node) syncWith(ctx context.Context, m fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	n.exchangeDigests(ctx, m, n.digest())
}

// exchangeDigests sends d to m and applies the updates of the response.
func (n *Node) exchangeDigests(ctx context.Context, m fleet.Member, d Digest) {
	var text []byte
	u, err := Update{}, n.post(ctx, m, pathSync, d, &text)
	if err == nil {
		err = n.decodeUpdate(text, &u, m.Node)
	}
	if err != nil {
		n.handleSendError(m, err)
		return
	}
	n.applyDigestState(u.Digest)
	n.updateLag(&u.Digest)
	n.mergeCrashes(u.Crashes, m.Node)
	n.applyStates(u.States)
	n.mergeRollouts(u.Rollouts, m.Node)
	n.applyChange(&u, string(m.Node))
	if len(u.Configuration) > 0 {
		c := &config.Configuration{}
		if err := decodeCompressed(u.Configuration, c); err != nil {
			n.Log.Warn("configuration from another node cannot be decoded", zap.String("from", string(m.Node)), zap.Error(err))
		} else {
			n.applyConfiguration(c, u.WithTeams, string(m.Node))
		}
	}
	n.applyFleet(&u, m.Node)
}

func (n *Node) applyFleet(u *Update, from model.NodeID) {
	var removed []model.NodeID
	switch {
	case len(u.Nodes) > 0 && n.View.Replace(u.Nodes, u.fleetPosition(), time.Now()):
	case u.FleetChange != nil && n.View.Loaded() && n.View.Apply(*u.FleetChange, time.Now()):
		removed = u.FleetChange.Removed
	default:
		return
	}
	n.Log.Info("fleet was taken from another node", zap.String("from", string(from)), zap.Inline(n.View.Current().Position),
		zap.Int("nodes", len(n.View.Current().Members)), zap.Bool("changes_only", u.FleetChange != nil))
	n.OnFleet(removed)
}

// applyChange puts a configuration in force that was received as a change of
// the current one. A change of another version is ignored: a newer
// configuration came into force in the meantime.
func (n *Node) applyChange(u *Update, from string) {
	s := n.Config.Current()
	if u.ConfigurationChange == nil || s == nil {
		return
	}
	if c, ok := u.ConfigurationChange.Apply(s.Configuration); ok {
		n.applyConfiguration(c, u.WithTeams && !s.TeamsUnknown, from)
	}
}

// applyConfiguration puts a configuration from another node in force if it is
// newer. withTeams says that the copy is complete.
func (n *Node) applyConfiguration(c *config.Configuration, withTeams bool, from string) {
	c.TeamsUnknown = !withTeams
	if !withTeams {
		n.Log.Info("configuration from another node lacks its teams; that node is of an earlier release, or got it from one",
			zap.String("from", from), zap.Uint64("version", uint64(c.Version)))
	}
	accepted, err := n.Config.Offer(c)
	if err != nil {
		n.Log.Error("configuration from another node was rejected", zap.String("from", from), zap.Error(err))
	}
	if accepted {
		n.OnConfig(c.Version, from)
	}
}

// ReportCrash sends a notice, of a crash or of a completed request, to all other
// nodes. It blocks until each send has succeeded or failed. A failed send is
// logged and not repeated.
func (n *Node) ReportCrash(ctx context.Context, notice CrashNotice) {
	n.sendToAll(ctx, func(ctx context.Context, m fleet.Member) {
		notice := notice
		if notice.Crash != nil {
			crash := notice.Crash.WithAge(time.Now())
			notice.Crash = &crash
		}
		if err := n.post(ctx, m, pathCrash, notice, nil); err != nil {
			n.Log.Warn("crash notice was not delivered", zap.String("to", string(m.Node)),
				zap.Stringer("fingerprint", notice.Fingerprint), zap.Error(err))
		}
	})
}
