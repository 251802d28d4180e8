package gossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

const (
	// calmPeriod is the time between two digests while the store answers. It
	// bounds how long a node that the store turns away stays behind; a version
	// must be in force after 2 s.
	syncPeriod = 2 * time.Second
	// urgentPeriod is the same while this node has no answer from the store.
	urgentSyncPeriod = 300 * time.Millisecond
	// storeTime is how long a node waits for the store before it takes from
	// another node what that has: the pause between two watches and an answer
	// of a slow store. A version must be in force after 2 s.
	configLagTimeout = 800 * time.Millisecond
	// fleetTime is the same for the rows of nodes, whose watch pauses longer. A
	// new VM need not be used at once.
	fleetLagTimeout = 2500 * time.Millisecond
	// messageTime bounds one exchange: 24 ms between regions, and a node with
	// a third of a core may be busy.
	messageTimeout = time.Second
	// tellers bounds the messages that are sent to many nodes at a time.
	maxParallelSends = 16
	// maxMessage bounds a message, in bytes: a configuration of 1,000 routes
	// takes about 300 KB, a fleet of 2,800 nodes about 600 KB.
	maxMessageBytes = 4 << 20
)

// Node sends and answers messages.
type Node struct {
	Self    fleet.Member
	Config  *config.Holder
	View    *fleet.View
	Notices crashguard.Registry
	// Serving reports whether this node takes work.
	Serving func() bool
	Client  *http.Client
	Log     *zap.Logger
	// OnConfig is told of versions that came from another node, by its name or
	// its address.
	OnConfig func(v config.Version, from string)
	// OnFleet is told of a fleet that came from another node, with the nodes
	// that were removed as far as they are known.
	OnFleet func(removed []model.NodeID)
	// Apply is the time in which a change has to be in force.
	ApplyTime time.Duration
	// Datagrams carries beacons and states within the zone.
	Datagrams *net.UDPConn
	Guard     *contain.Guard

	startTime         time.Time
	beaconTrigger     chan struct{}
	fetching          atomic.Bool
	lastFetch         atomic.Int64 // when the last fetch began, on the clock of the node
	compressMu        sync.Mutex
	compressedVersion config.Version
	compressedConfig  []byte
	startNanos        int64
	sequence          atomic.Uint64
	storeUnavailable  atomic.Bool
	syncTrigger       chan struct{}
	configLag         lag // another node has a newer configuration
	fleetLag          lag // another node knows a newer fleet
	mu                sync.Mutex
	lastStates        map[model.NodeID]stateOrder
	zone              *relay.Zone
	zoneNodes         rankedNodes
	pendingStates     []State // to be passed on
}

// heard is the newest digest of a node.
type stateOrder struct {
	started  int64
	sequence uint64
	at       time.Time
}

// restartTime is how long after the last digest of one start of a node a start
// that claims to be earlier is believed: the clock of the node may have been
// set back. Digests that arrive late are seconds old.
const restartGracePeriod = 5 * time.Second

// newer reports whether d replaces h.
func (o *stateOrder) olderThan(s *State, now time.Time) bool {
	switch {
	case s.Started == o.started:
		return s.Sequence > o.sequence
	case s.Started < o.started:
		return now.Sub(o.at) > restartGracePeriod
	}
	return true
}

// Start prepares n for use.
func (n *Node) Init(now time.Time) {
	n.startNanos = now.UnixNano()
	n.startTime = now
	n.syncTrigger, n.beaconTrigger = make(chan struct{}, 1), make(chan struct{}, 1)
	n.zone = relay.NewZone(n.Self.Node, 0)
	n.zone.AllFollow = n.ApplyTime < relay.MinApplyTime
	n.lastStates = make(map[model.NodeID]stateOrder)
}

// SetStore notes whether the store answers this node.
func (n *Node) SetStoreAvailable(available bool) {
	if n.storeUnavailable.Swap(!available) != !available {
		n.TriggerBeacon()
	}
	if !available {
		n.TriggerSync()
	}
}

// Hurry asks another node soon, because something is missing.
func (n *Node) TriggerSync() {
	select {
	case n.syncTrigger <- struct{}{}:
	default:
	}
}

// Routes adds the message handlers to e.
func (n *Node) RegisterHandlers(e *echo.Echo) {
	e.POST(pathSync, n.handleSync)
	e.POST(pathCrash, n.handleCrash)
	e.POST(pathStates, n.handleStates)
}

func (n *Node) digest() Digest {
	f := n.View.Current()
	return Digest{
		From: n.Self, Serving: n.Serving(), NeedsUpdate: n.needsUpdate(time.Now()),
		ConfigVersion: n.Config.Version(), FleetRevision: f.Revision, MembersDigest: f.Digest,
		Started: n.startNanos, Sequence: n.sequence.Add(1),
	}
}

// cutOff reports whether neither the store nor a relay serves this node.
func (n *Node) isolated() bool { return n.storeUnavailable.Load() && !n.hasHealthyRelay() }

// lacks reports whether this node needs what others have: the store does not
// answer it, or it has been behind another node for longer than the store
// takes.
func (n *Node) needsUpdate(now time.Time) bool {
	return n.isolated() || n.Config.Current() == nil || n.configLag.duration(now) > configLagTimeout ||
		n.fleetLag.duration(now) > fleetLagTimeout
}

// behind tells since when another node is known to have more.
type lag struct {
	since  atomic.Pointer[time.Time] // nil if none is
	newest atomic.Uint64             // what another node has
}

// note notes that another node has more, and reports whether this node was not
// behind until now.
func (l *lag) observe(version uint64, now time.Time) bool {
	for {
		old := l.newest.Load()
		if version <= old || l.newest.CompareAndSwap(old, version) {
			break
		}
	}
	return l.since.CompareAndSwap(nil, &now)
}

// reached notes what this node has. It ends being behind only if that is all
// that was known elsewhere: nodes that lag too do not.
func (l *lag) caughtUp(version uint64) {
	if version >= l.newest.Load() {
		l.since.Store(nil)
	}
}

func (l *lag) active() bool { return l.since.Load() != nil }

func (l *lag) duration(now time.Time) time.Duration {
	since := l.since.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// compare notes whether another node has more than this one. If so and the
// store does not bring it soon, this node asks for it.
func (n *Node) updateLag(d *Digest) {
	now := time.Now()
	if d.ConfigVersion > n.Config.Version() && n.configLag.observe(uint64(d.ConfigVersion), now) {
		time.AfterFunc(configLagTimeout+configLagTimeout/8, n.TriggerSync)
	}
	f := n.View.Current()
	switch {
	case !n.View.Loaded():
	case d.MembersDigest == f.Digest: // the same fleet, whatever the revisions
		n.fleetLag.caughtUp(max(uint64(d.FleetRevision), uint64(f.Revision)))
	case d.FleetRevision > f.Revision:
		if n.fleetLag.observe(uint64(d.FleetRevision), now) {
			time.AfterFunc(fleetLagTimeout+fleetLagTimeout/8, n.TriggerSync)
		}
	}
}

// Behind notes that a request of another node was decided by a newer version.
func (n *Node) NoteNewerConfig(v config.Version) {
	if n.configLag.observe(uint64(v), time.Now()) {
		time.AfterFunc(configLagTimeout+configLagTimeout/8, n.TriggerSync)
	}
}

func (n *Node) handleSync(c echo.Context) error {
	var d Digest
	if err := readMessage(c, &d); err != nil || !d.From.Complete() {
		n.Log.Warn("message of another node cannot be used", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.applyDigestState(d)
	u := Update{Digest: n.digest()}
	if s := n.Config.Current(); d.NeedsUpdate && s != nil && s.Version > d.ConfigVersion {
		if base := n.Config.Recent(d.ConfigVersion); base != nil {
			u.ConfigurationChange = config.Diff(base, s.Configuration)
		} else {
			u.Configuration = n.compressConfiguration(s.Configuration)
		}
	}
	if d.NeedsUpdate {
		u.FleetChange, u.Nodes = n.fleetSince(d.FleetRevision)
	}
	n.updateLag(&d)
	if u.NeedsUpdate && (d.ConfigVersion > u.ConfigVersion || d.FleetRevision > u.FleetRevision) {
		n.Guard.Go("ask back", func() { n.syncWith(context.Background(), d.From) })
	}
	return writeUpdate(c, &u)
}

func (n *Node) handleCrash(c echo.Context) error {
	var notice CrashNotice
	if err := readMessage(c, &notice); err != nil || notice.Fingerprint == (crashguard.Fingerprint{}) || notice.Service == "" {
		n.Log.Warn("crash notice cannot be used", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	if notice.Crash == nil {
		if err := n.Notices.ReportCompleted(c.Request().Context(), notice.Fingerprint); err != nil {
			n.Log.Warn("completion could not be noted", zap.Stringer("fingerprint", notice.Fingerprint), zap.Error(err))
		}
		return c.NoContent(http.StatusNoContent)
	}
	n.Notices.RecordLocal(notice.Fingerprint, notice.Service, *notice.Crash)
	n.Log.Info("crash of an upstream was reported by another node", zap.Stringer("fingerprint", notice.Fingerprint),
		zap.String("service", notice.Service), zap.String("at", string(notice.Crash.Upstream)))
	return c.NoContent(http.StatusNoContent)
}

// fleetFor returns what another node lacks of the fleet after a revision: the
// changes if they are known, otherwise all nodes.
func (n *Node) fleetSince(after follow.Revision) (*fleet.Change, []fleet.Member) {
	f := n.View.Current()
	if !n.View.Loaded() || f.Revision <= after {
		return nil, nil
	}
	if c, ok := n.View.ChangesSince(after); ok {
		return &c, nil
	}
	return nil, slices.Collect(maps.Values(f.Members))
}

// learn takes what a node says about itself in a digest.
func (n *Node) applyDigestState(d Digest) {
	n.applyStates([]State{{Node: d.From.Node, Serving: d.Serving, Started: d.Started, Sequence: d.Sequence}})
}

// Forget drops what was heard of a node that has left the fleet.
func (n *Node) RemoveNode(id model.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lastStates, id)
}

// Run exchanges digests with random nodes until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	for {
		period := syncPeriod
		if n.isolated() || n.Config.Current() == nil {
			period = urgentSyncPeriod
		}
		// Jitter keeps nodes that started together apart.
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

// ask sends a digest to a node and takes what it has.
func (n *Node) syncWith(ctx context.Context, m fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	n.exchangeDigests(ctx, m, n.digest())
}

// exchange sends a digest to a node and takes what it has.
func (n *Node) exchangeDigests(ctx context.Context, m fleet.Member, d Digest) {
	var u Update
	if err := n.post(ctx, m, pathSync, d, &u); err != nil {
		n.handleSendError(m, err)
		return
	}
	n.applyDigestState(u.Digest)
	n.updateLag(&u.Digest)
	n.applyChange(&u, string(m.Node))
	if len(u.Configuration) > 0 {
		c := &config.Configuration{}
		if err := decodeCompressed(u.Configuration, c); err != nil {
			n.Log.Warn("configuration of another node cannot be read", zap.String("from", string(m.Node)), zap.Error(err))
		} else {
			n.applyConfiguration(c, string(m.Node))
		}
	}
	n.applyFleet(&u, m.Node)
}

func (n *Node) applyFleet(u *Update, from model.NodeID) {
	var removed []model.NodeID
	switch {
	case len(u.Nodes) > 0 && n.View.Replace(u.Nodes, u.FleetRevision):
	case u.FleetChange != nil && n.View.Loaded() && n.View.Apply(*u.FleetChange):
		removed = u.FleetChange.Removed
	default:
		return
	}
	n.Log.Info("fleet was taken from another node", zap.String("from", string(from)), zap.Uint64("revision", uint64(u.FleetRevision)),
		zap.Int("nodes", len(n.View.Current().Members)), zap.Bool("changes_only", u.FleetChange != nil))
	n.OnFleet(removed)
}

// takeChange puts a configuration in force that came as a change of the one
// here. A change of another version is left: something newer came meanwhile.
func (n *Node) applyChange(u *Update, from string) {
	s := n.Config.Current()
	if u.ConfigurationChange == nil || s == nil {
		return
	}
	if c, ok := u.ConfigurationChange.Apply(s.Configuration); ok {
		n.applyConfiguration(c, from)
	}
}

// takeConfiguration puts a configuration of another node in force if it is newer.
func (n *Node) applyConfiguration(c *config.Configuration, from string) {
	accepted, err := n.Config.Offer(c)
	if err != nil {
		n.Log.Error("configuration of another node is refused", zap.String("from", from), zap.Error(err))
	}
	if accepted {
		n.OnConfig(c.Version, from)
	}
}

// ReportCrash tells all nodes of a crash, or of a completed request.
func (n *Node) ReportCrash(ctx context.Context, notice CrashNotice) {
	n.sendToAll(ctx, func(ctx context.Context, m fleet.Member) {
		if err := n.post(ctx, m, pathCrash, notice, nil); err != nil {
			n.Log.Warn("crash notice was not delivered", zap.String("to", string(m.Node)),
				zap.Stringer("fingerprint", notice.Fingerprint), zap.Error(err))
		}
	})
}
