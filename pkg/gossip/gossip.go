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
	calmPeriod = 2 * time.Second
	// urgentPeriod is the same while this node has no answer from the store.
	urgentPeriod = 300 * time.Millisecond
	// storeTime is how long a node waits for the store before it takes from
	// another node what that has: the pause between two watches and an answer
	// of a slow store. A version must be in force after 2 s.
	storeTime = 800 * time.Millisecond
	// fleetTime is the same for the rows of nodes, whose watch pauses longer. A
	// new VM need not be used at once.
	fleetTime = 2500 * time.Millisecond
	// messageTime bounds one exchange: 24 ms between regions, and a node with
	// a third of a core may be busy.
	messageTime = time.Second
	// tellers bounds the messages that are sent to many nodes at a time.
	tellers = 16
	// maxMessage bounds a message, in bytes: a configuration of 1,000 routes
	// takes about 300 KB, a fleet of 2,800 nodes about 600 KB.
	maxMessage = 4 << 20
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

	began        time.Time
	beat         chan struct{}
	fetching     atomic.Bool
	fetched      atomic.Int64 // when the last fetch began, on the clock of the node
	pack         sync.Mutex
	packedFor    config.Version
	packedBytes  []byte
	started      int64
	sequence     atomic.Uint64
	storeAway    atomic.Bool
	hurry        chan struct{}
	configBehind behind // another node has a newer configuration
	fleetBehind  behind // another node knows a newer fleet
	mu           sync.Mutex
	heard        map[model.NodeID]heard
	zone         *relay.Zone
	ranked       ranked
	pending      []State // to be passed on
}

// heard is the newest digest of a node.
type heard struct {
	started  int64
	sequence uint64
	at       time.Time
}

// restartTime is how long after the last digest of one start of a node a start
// that claims to be earlier is believed: the clock of the node may have been
// set back. Digests that arrive late are seconds old.
const restartTime = 5 * time.Second

// newer reports whether d replaces h.
func (h *heard) newer(d *State, now time.Time) bool {
	switch {
	case d.Started == h.started:
		return d.Sequence > h.sequence
	case d.Started < h.started:
		return now.Sub(h.at) > restartTime
	}
	return true
}

// Start prepares n for use.
func (n *Node) Init(now time.Time) {
	n.started = now.UnixNano()
	n.began = now
	n.hurry, n.beat = make(chan struct{}, 1), make(chan struct{}, 1)
	n.zone = relay.NewZone(n.Self.Node, 0)
	n.zone.AllFollow = n.ApplyTime < relay.MinApplyTime
	n.heard = make(map[model.NodeID]heard)
}

// SetStore notes whether the store answers this node.
func (n *Node) SetStoreAvailable(available bool) {
	if n.storeAway.Swap(!available) != !available {
		n.TriggerBeacon()
	}
	if !available {
		n.TriggerSync()
	}
}

// Hurry asks another node soon, because something is missing.
func (n *Node) TriggerSync() {
	select {
	case n.hurry <- struct{}{}:
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
		From: n.Self, Serving: n.Serving(), NeedsUpdate: n.lacks(time.Now()),
		ConfigVersion: n.Config.Version(), FleetRevision: f.Revision, MembersDigest: f.Digest,
		Started: n.started, Sequence: n.sequence.Add(1),
	}
}

// cutOff reports whether neither the store nor a relay serves this node.
func (n *Node) cutOff() bool { return n.storeAway.Load() && !n.served() }

// lacks reports whether this node needs what others have: the store does not
// answer it, or it has been behind another node for longer than the store
// takes.
func (n *Node) lacks(now time.Time) bool {
	return n.cutOff() || n.Config.Current() == nil || n.configBehind.since(now) > storeTime ||
		n.fleetBehind.since(now) > fleetTime
}

// behind tells since when another node is known to have more.
type behind struct {
	at     atomic.Pointer[time.Time] // nil if none is
	newest atomic.Uint64             // what another node has
}

// note notes that another node has more, and reports whether this node was not
// behind until now.
func (b *behind) note(newest uint64, now time.Time) bool {
	for {
		old := b.newest.Load()
		if newest <= old || b.newest.CompareAndSwap(old, newest) {
			break
		}
	}
	return b.at.CompareAndSwap(nil, &now)
}

// reached notes what this node has. It ends being behind only if that is all
// that was known elsewhere: nodes that lag too do not.
func (b *behind) reached(own uint64) {
	if own >= b.newest.Load() {
		b.at.Store(nil)
	}
}

func (b *behind) known() bool { return b.at.Load() != nil }

func (b *behind) since(now time.Time) time.Duration {
	at := b.at.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// compare notes whether another node has more than this one. If so and the
// store does not bring it soon, this node asks for it.
func (n *Node) compare(d *Digest) {
	now := time.Now()
	if d.ConfigVersion > n.Config.Version() && n.configBehind.note(uint64(d.ConfigVersion), now) {
		time.AfterFunc(storeTime+storeTime/8, n.TriggerSync)
	}
	f := n.View.Current()
	switch {
	case !n.View.Loaded():
	case d.MembersDigest == f.Digest: // the same fleet, whatever the revisions
		n.fleetBehind.reached(max(uint64(d.FleetRevision), uint64(f.Revision)))
	case d.FleetRevision > f.Revision:
		if n.fleetBehind.note(uint64(d.FleetRevision), now) {
			time.AfterFunc(fleetTime+fleetTime/8, n.TriggerSync)
		}
	}
}

// Behind notes that a request of another node was decided by a newer version.
func (n *Node) NoteNewerConfig(v config.Version) {
	if n.configBehind.note(uint64(v), time.Now()) {
		time.AfterFunc(storeTime+storeTime/8, n.TriggerSync)
	}
}

func (n *Node) handleSync(c echo.Context) error {
	var d Digest
	if err := readMessage(c, &d); err != nil || !d.From.Complete() {
		n.Log.Warn("message of another node cannot be used", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.learn(d)
	u := Update{Digest: n.digest()}
	if s := n.Config.Current(); d.NeedsUpdate && s != nil && s.Version > d.ConfigVersion {
		if base := n.Config.Recent(d.ConfigVersion); base != nil {
			u.ConfigurationChange = config.Diff(base, s.Configuration)
		} else {
			u.Configuration = n.packed(s.Configuration)
		}
	}
	if d.NeedsUpdate {
		u.FleetChange, u.Nodes = n.fleetFor(d.FleetRevision)
	}
	n.compare(&d)
	if u.NeedsUpdate && (d.ConfigVersion > u.ConfigVersion || d.FleetRevision > u.FleetRevision) {
		n.Guard.Go("ask back", func() { n.ask(context.Background(), d.From) })
	}
	return reply(c, &u)
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
func (n *Node) fleetFor(after follow.Revision) (*fleet.Change, []fleet.Member) {
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
func (n *Node) learn(d Digest) {
	n.learnStates([]State{{Node: d.From.Node, Serving: d.Serving, Started: d.Started, Sequence: d.Sequence}})
}

// Forget drops what was heard of a node that has left the fleet.
func (n *Node) RemoveNode(id model.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.heard, id)
}

// Run exchanges digests with random nodes until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	for {
		period := calmPeriod
		if n.cutOff() || n.Config.Current() == nil {
			period = urgentPeriod
		}
		// Jitter keeps nodes that started together apart.
		t := time.NewTimer(period/2 + rand.N(period))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		case <-n.hurry:
			t.Stop()
		}
		if m, ok := n.random(); ok {
			n.ask(ctx, m)
		}
	}
}

// ask sends a digest to a node and takes what it has.
func (n *Node) ask(ctx context.Context, m fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, messageTime)
	defer cancel()
	n.exchange(ctx, m, n.digest())
}

// exchange sends a digest to a node and takes what it has.
func (n *Node) exchange(ctx context.Context, m fleet.Member, d Digest) {
	var u Update
	if err := n.post(ctx, m, pathSync, d, &u); err != nil {
		n.unanswered(m, err)
		return
	}
	n.learn(u.Digest)
	n.compare(&u.Digest)
	n.takeChange(&u, string(m.Node))
	if len(u.Configuration) > 0 {
		c := &config.Configuration{}
		if err := unpack(u.Configuration, c); err != nil {
			n.Log.Warn("configuration of another node cannot be read", zap.String("from", string(m.Node)), zap.Error(err))
		} else {
			n.takeConfiguration(c, string(m.Node))
		}
	}
	n.takeFleet(&u, m.Node)
}

func (n *Node) takeFleet(u *Update, from model.NodeID) {
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
func (n *Node) takeChange(u *Update, from string) {
	s := n.Config.Current()
	if u.ConfigurationChange == nil || s == nil {
		return
	}
	if c, ok := u.ConfigurationChange.Apply(s.Configuration); ok {
		n.takeConfiguration(c, from)
	}
}

// takeConfiguration puts a configuration of another node in force if it is newer.
func (n *Node) takeConfiguration(c *config.Configuration, from string) {
	taken, err := n.Config.Offer(c)
	if err != nil {
		n.Log.Error("configuration of another node is refused", zap.String("from", from), zap.Error(err))
	}
	if taken {
		n.OnConfig(c.Version, from)
	}
}

// ReportCrash tells all nodes of a crash, or of a completed request.
func (n *Node) ReportCrash(ctx context.Context, notice CrashNotice) {
	n.tell(ctx, func(ctx context.Context, m fleet.Member) {
		if err := n.post(ctx, m, pathCrash, notice, nil); err != nil {
			n.Log.Warn("crash notice was not delivered", zap.String("to", string(m.Node)),
				zap.Stringer("fingerprint", notice.Fingerprint), zap.Error(err))
		}
	})
}
