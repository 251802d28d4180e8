package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Relay is one node's part of the overlay. It is safe for concurrent use.
type Relay struct {
	cfg     Config
	self    model.Entry // identity, location and addresses; state and numbers are in the roster
	log     *zap.Logger
	metrics *metrics
	hub     *hub
	frames  frameCache
	joins   chan struct{} // one token per join being answered

	settled   atomic.Bool  // the start-up read is over
	contact   atomic.Int64 // Unix nanoseconds of the last exchange with any node
	rootHeard atomic.Bool  // another root answered since the last renewal
	hint      atomic.Uint64
	hinted    chan struct{}
	beatNow   chan struct{}
	renewNow  chan struct{}
	syncNow   chan struct{}
	up        *outbox

	watchMu sync.Mutex
	watch   *membership.Watch

	mu       sync.Mutex // guards the fields below
	parent   attachment
	lastBeat wire.BeatFrame
	asOf     asOf
	hintFrom target // a node that holds the hinted version
	starting string // what the start-up read waits for
	applyErr string
}

// attachment is the stream from the parent.
type attachment struct {
	open  bool
	entry model.Entry
	since time.Time // of the last change of open
}

// NewRelay returns a relay. Its handlers must be registered and Run called.
func NewRelay(cfg Config) *Relay {
	cfg = cfg.withDefaults()
	r := &Relay{
		cfg:      cfg,
		self:     cfg.Roster.Self(),
		log:      cfg.Log.Named("overlay"),
		joins:    make(chan struct{}, maxParallelCalls),
		hinted:   make(chan struct{}, 1),
		beatNow:  make(chan struct{}, 1),
		renewNow: make(chan struct{}, 1),
		syncNow:  make(chan struct{}, 1),
		watch:    membership.NewWatch(),
		starting: "process has not started",
	}
	r.hub = newHub(r)
	r.up = newOutbox()
	r.parent.since = time.Now()
	r.metrics = newMetrics(r)
	cfg.Roster.Observe(r.spread)
	return r
}

// Run keeps the node in the overlay until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){
		r.runStart, r.runSource, r.runFollow, r.runRenew, r.runWatch, r.runSync, r.runUp, r.runFetch, r.runVersions, r.runRows,
	}
	for _, loop := range loops {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := g.Wait()
	r.hub.closeAll()
	return err
}

// Publish starts the flow of a version that this process has just accepted and
// applied: children get it at once, with a heartbeat.
func (r *Relay) Publish() {
	r.hub.wakeAll()
	wake(r.beatNow)
}

// VersionSeen is a hint that version v exists. A node that is behind asks for
// it. Wrong hints cost a few requests.
func (r *Relay) VersionSeen(v model.Version) { r.versionSeenAt(v, target{}) }

// versionSeenAt is VersionSeen with a node that holds the version. Such a node
// is asked first, also below this one in the tree: a process that started from
// the store may be ahead of a region that is cut off from the publisher.
func (r *Relay) versionSeenAt(v model.Version, at target) {
	if v <= r.held().Number {
		return
	}
	if at.address != "" {
		r.mu.Lock()
		r.hintFrom = at
		r.mu.Unlock()
	}
	for {
		old := r.hint.Load()
		if uint64(v) <= old {
			break
		}
		if r.hint.CompareAndSwap(old, uint64(v)) {
			break
		}
	}
	wake(r.hinted)
}

// Settled reports whether the start-up read is over, so that the node may
// serve with what it holds.
func (r *Relay) Settled() bool { return r.settled.Load() }

// AsOfAge returns how old the knowledge is that the version in force is the
// newest one. It grows while no publisher can be heard.
func (r *Relay) AsOfAge() time.Duration { return r.age(time.Now()) }

func (r *Relay) age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf.age(now)
}

// held describes the version in force; its number is 0 before the first one.
func (r *Relay) held() model.VersionInfo {
	if a := r.cfg.Holder.Active(); a != nil {
		return a.Info
	}
	return model.VersionInfo{}
}

func (r *Relay) tree() *membership.Tree { return r.cfg.Roster.View().Tree() }

func (r *Relay) generation() uint64 { return r.cfg.Roster.Self().Generation }

// isTop reports whether this node has no parent. The publisher knows so from
// its own lease, before its announcement has reached anyone.
func (r *Relay) isTop() bool {
	top, ok := r.tree().Top()
	return r.cfg.IsPublisher() || ok && top == r.self.Node
}

// known returns the target of a node in the roster.
func (r *Relay) known(id model.NodeID) target {
	if e, ok := r.tree().Entry(id); ok {
		return r.targetOf(&e)
	}
	return target{}
}

func (r *Relay) attached() attachment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parent
}

func (r *Relay) setStarting(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starting = text
}

func (r *Relay) setApplyError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyErr = ""
	if err != nil {
		r.applyErr = err.Error()
	}
}

// touch records an exchange with any node.
func (r *Relay) touch(now time.Time) { r.contact.Store(now.UnixNano()) }

// regionOf returns the region of a node, empty if it is unknown.
func (r *Relay) regionOf(id model.NodeID) model.Region {
	e, _ := r.tree().Entry(id)
	return e.Location.Region
}

// newRand returns a generator for one decision; the shared one of package rand
// seeds it.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// wake signals a channel of capacity 1.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// pauseOr is pause that also ends when c is signalled.
func pauseOr(ctx context.Context, d time.Duration, c <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-c:
	}
	return true
}

// around returns d ±10%, so that nodes that started together drift apart.
func around(d time.Duration) time.Duration {
	return d - d/10 + time.Duration(rand.Int64N(int64(d)/5+1))
}
