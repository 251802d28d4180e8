package agent

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/gateway"
	"github.com/lentilflow/lentilflow/pkg/gossip"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

const (
	// idleRolloutPeriod is the time between two steps while no rollout of the service is
	// running, and cutoverPeriod that during a cutover, which ends as soon as no request
	// is in flight at old upstreams.
	idleRolloutPeriod = time.Second
	cutoverPeriod     = 100 * time.Millisecond
	// repeatPeriod is the time after which a coordinator repeats a state that has not
	// changed, because datagrams may be lost.
	repeatPeriod = 500 * time.Millisecond
	// statusTimeout bounds a request about a status, and statusRetry is the time between
	// two attempts.
	statusTimeout = time.Second
	statusRetry   = 300 * time.Millisecond
	// versionMemory is how long an order must have been known for a conclusion from the
	// versions of all upstreams.
	versionMemory = 2 * time.Second
	// uninformedPlaces is by how many places a node that hears of few upstreams moves down in
	// the order of the coordinators.
	uninformedPlaces = 2
)

// rolloutDriver takes part in the rollouts of the service of this node, and keeps what the
// store has of all rollouts. Its exported fields are set before the first use.
type rolloutDriver struct {
	Table  *rollout.Table
	Bounds rollout.Bounds
	Store  rollout.Store
	Self   fleet.Member
	Local  *gateway.Local
	View   *fleet.View
	Gossip *gossip.Node
	Config *config.Holder
	Guard  *contain.Guard
	Log    *zap.Logger
	// OnlyOrdered says that upstreams of other versions than the one in use get requests
	// only because of an order, and FirstStart that the whole deployment starts.
	OnlyOrdered, FirstStart bool

	changes *prometheus.CounterVec // by reason
	wake    chan struct{}
	started time.Time
	era     atomic.Uint64 // newest era in which orders were read

	mu       sync.Mutex
	order    rollout.Order // whose counts are collected
	since    time.Time     // when this node began to collect them
	evidence *rollout.Evidence
	recorder *rollout.Recorder
	sequence uint64 // of the counts
	lastTick time.Time
	lastSent time.Time // of a state
	// otherHeard is when another node has last coordinated the rollout, as far as is known.
	otherHeard time.Time
	// absentSince is since when no upstream of the service has had the version in use.
	absentSince time.Time
	announced   bool // the version, for the nodes that have started meanwhile

	noted  sync.Mutex
	logged map[string]rollout.State // of each service, the last one that took effect

	status statusWriter
}

// init prepares d for use. It registers its metrics with r.
func (d *rolloutDriver) init(r *prometheus.Registry) {
	d.wake, d.started, d.logged = make(chan struct{}, 1), time.Now(), make(map[string]rollout.State)
	d.changes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lentilflow", Name: "rollout_changes_total", Help: "Changes of the phase of a rollout that this node has made as its coordinator, by reason.",
	}, []string{"reason"})
	r.MustRegister(d.changes)
	for _, reason := range rollout.Reasons() {
		d.changes.WithLabelValues(string(reason))
	}
	d.status.driver = d
}

// view returns the rollout of the service of this node, nil if nothing is known of one.
func (d *rolloutDriver) view() *rollout.View { return d.Table.Current().Of(d.Self.Service) }

// Phase returns how far the rollout of the service has got, as a number for a metric, and
// Share the share of the calls that goes to the new version.
func (d *rolloutDriver) Phase() float64 {
	v := d.view()
	if v == nil {
		return 0
	}
	return float64(slices.Index([]rollout.Phase{rollout.NoOrder, rollout.Pending, rollout.Canary, rollout.LoadTest, rollout.Cutover, rollout.RolledBack, rollout.Completed}, v.Phase))
}

func (d *rolloutDriver) Share() float64 {
	if v := d.view(); v != nil {
		return v.ShareAt(time.Now())
	}
	return 0
}

// awaitsUpstreams reports whether a rollout has begun whose upstreams may still start: nodes
// have to know these soon, because a rollout takes some 12 s.
func (d *rolloutDriver) awaitsUpstreams() bool {
	return slices.ContainsFunc(d.Table.Current().All(), func(v *rollout.View) bool {
		return v.HasOrder() && !v.Phase.Final() && time.Since(v.Began) < v.Within.Duration()
	})
}

// onOrders handles orders that were read from the store.
func (d *rolloutDriver) onOrders(r rollout.Reading) {
	fresh := d.Table.ApplyReading(r, time.Now())
	for i := range fresh {
		d.logOrder(&fresh[i])
	}
	if d.Gossip.AnnouncesRollouts() {
		d.Gossip.SpreadRollouts(fresh)
	}
	d.applied(fresh)
	if !r.Whole {
		return
	}
	before := d.era.Swap(uint64(r.At.Era))
	if restored := before != 0 && before < uint64(r.At.Era); restored || d.needsStatuses() {
		d.Guard.Go("read statuses", func() { d.status.readAll(restored) })
	}
}

func (d *rolloutDriver) logOrder(s *rollout.State) {
	if s.Phase != rollout.Pending {
		return
	}
	fields := []zap.Field{
		zap.String("rollout_of", s.Service), zap.String("to", s.To), zap.Duration("within", s.Within.Duration()), zap.String("from_version", s.From), zap.Inline(s.At),
	}
	known := len(d.View.Current().UpstreamNodes(s.Service)) > 0
	if c := d.Config.Current(); c != nil && !known {
		_, known = c.Service(s.Service)
	}
	if !known && d.View.Loaded() {
		d.Log.Warn("order of a rollout names a service that does not exist", fields...)
		return
	}
	d.Log.Info("rollout is ordered", fields...)
}

// needsStatuses reports whether there are orders of which only the store can say how far
// they have got.
func (d *rolloutDriver) needsStatuses() bool {
	return slices.ContainsFunc(d.Table.Current().All(), func(v *rollout.View) bool { return v.Phase == rollout.Pending && v.Sequence == 0 })
}

// onRollouts handles what another node has added.
func (d *rolloutDriver) onRollouts(fresh []rollout.State, _ model.NodeID) { d.applied(fresh) }

// applied makes what is new take effect at this node.
func (d *rolloutDriver) applied(fresh []rollout.State) {
	for i := range fresh {
		changed := d.notePhase(&fresh[i])
		if changed && fresh[i].Service == d.Self.Service {
			d.Local.RefreshVersion()
			d.wakeUp()
		}
	}
}

func (d *rolloutDriver) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// notePhase reports whether this node did not know a phase, and logs it then unless this
// node has brought it about.
func (d *rolloutDriver) notePhase(s *rollout.State) (changed bool) {
	d.noted.Lock()
	last := d.logged[s.Service]
	changed = last.Phase != s.Phase || last.To != s.To || last.At != s.At || last.From != s.From
	if changed {
		d.logged[s.Service] = *s
	}
	d.noted.Unlock()
	if changed {
		d.logPhase(s, last.Phase)
	}
	return changed
}

func (d *rolloutDriver) logPhase(s *rollout.State, before rollout.Phase) {
	if s.HasOrder() && s.Phase == before || s.Coordinator == d.Self.Node || s.Phase == rollout.Pending {
		return
	}
	if !s.HasOrder() {
		d.Log.Info("software version in use is known", zap.String("of", s.Service), zap.String("software", s.From))
		return
	}
	d.Log.Info("phase of a rollout has changed at another node", zap.String("rollout_of", s.Service), zap.String("to", s.To), zap.String("phase", string(s.Phase)),
		zap.String("reason", string(s.Reason)), zap.String("coordinator", string(s.Coordinator)))
}

// onCounts takes the counts that another node sends to this one as a coordinator.
func (d *rolloutDriver) onCounts(c rollout.Counts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evidence != nil {
		d.evidence.Add(c, time.Now())
	}
}

// run takes part in the rollouts of the service until ctx ends. It returns nil.
func (d *rolloutDriver) run(ctx context.Context) error {
	for {
		period := idleRolloutPeriod
		if v := d.view(); v != nil && v.HasOrder() && !(v.Phase.Final() && v.Written) {
			period = rollout.CountPeriod
			if v.Phase == rollout.Cutover {
				period = cutoverPeriod
			}
		}
		t := time.NewTimer(period)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		case <-d.wake:
			t.Stop()
		}
		d.step(time.Now())
	}
}

func (d *rolloutDriver) step(now time.Time) {
	v := d.view()
	d.mu.Lock()
	defer d.mu.Unlock()
	if v == nil || !v.HasOrder() {
		d.end()
		d.determineVersionInUse(v, now)
		return
	}
	if o := v.Order(); d.order.To != o.To || d.order.Within != o.Within || d.order.At.Revision != o.At.Revision {
		d.begin(v, now)
	}
	if v.Phase.Final() {
		d.finish(v, now)
		return
	}
	coordinators := d.coordinators(v)
	d.sendCounts(v, rollout.Listeners(coordinators, now.Sub(later(v.Heard, d.since))), now)
	if now.Sub(d.lastTick) >= rollout.CountPeriod-cutoverPeriod/2 {
		d.evidence.Tick(now)
		d.lastTick = now
	}
	if place := slices.Index(coordinators, d.Self.Node); place >= 0 {
		d.coordinate(v, place, now)
	}
}

// silence returns for how long this node has heard of no other coordinator. The mutex is
// held.
func (d *rolloutDriver) silence(v *rollout.View, now time.Time) time.Duration {
	if v.Coordinator != d.Self.Node {
		d.otherHeard = later(d.otherHeard, v.Heard)
	}
	return now.Sub(later(d.otherHeard, d.since))
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// begin starts the counts for an order. The mutex is held.
func (d *rolloutDriver) begin(v *rollout.View, now time.Time) {
	d.order, d.since, d.otherHeard = v.Order(), now, time.Time{}
	d.evidence = rollout.NewEvidence(d.order)
	d.recorder = nil
	if !v.Phase.Final() {
		d.recorder = rollout.NewRecorder(d.order.At, v.Began.Add(d.order.Within/3))
	}
	d.Local.SetRecorder(d.recorder)
}

// end ends the counts. The mutex is held.
func (d *rolloutDriver) end() {
	if d.evidence != nil {
		d.Local.SetRecorder(nil)
		d.evidence, d.recorder, d.order = nil, nil, rollout.Order{}
	}
}

// finish ends the counts of a rollout that has ended, and makes sure that the store has its
// status. The mutex is held.
func (d *rolloutDriver) finish(v *rollout.View, now time.Time) {
	if d.recorder != nil {
		d.Local.SetRecorder(nil)
		d.recorder = nil
	}
	if place := slices.Index(d.coordinators(v), d.Self.Node); !v.Written && rollout.Turn(place, d.silence(v, now)) {
		d.status.save(v.Sent(now), now)
	}
}

// coordinators returns the reachable nodes of the service in the order in which they
// coordinate.
func (d *rolloutDriver) coordinators(v *rollout.View) []model.NodeID {
	var old, fresh []model.NodeID
	for _, n := range d.View.Current().UpstreamNodes(v.Service) {
		switch {
		case n.State == model.Unreachable && n.Node != d.Self.Node:
		case n.Software == v.To:
			fresh = append(fresh, n.Node)
		default:
			old = append(old, n.Node)
		}
	}
	return rollout.Coordinators(v.Order(), old, fresh)
}

// sendCounts records and sends the counts of this node. The mutex is held.
func (d *rolloutDriver) sendCounts(v *rollout.View, to []model.NodeID, now time.Time) {
	load, _, _ := d.Local.State()
	software := d.Local.Software()
	d.sequence++
	c := rollout.Counts{
		Node: d.Self.Node, Service: v.Service, At: v.At, Started: d.started.UnixNano(), Sequence: d.sequence, Software: software, Ready: d.Local.Available(),
		Slots: load.Slots, Running: load.Running, Waiting: load.Waiting, Closed: v.Closed(now) && software != v.To,
	}
	if d.recorder != nil {
		c.Routes = d.recorder.Counts(software)
	}
	d.evidence.Add(c, now)
	d.Gossip.SendCounts(c, to)
}

// facts returns what this node knows as a coordinator. The mutex is held.
func (d *rolloutDriver) facts(v *rollout.View, now time.Time) rollout.Facts {
	ready := d.evidence.Ready(now)
	var fresh []model.UpstreamNode
	var old []model.NodeID
	for _, n := range d.View.Current().UpstreamNodes(v.Service) {
		switch {
		case slices.Contains(ready, n.Node):
			fresh = append(fresh, n)
		case n.Software != v.To && (n.State != model.NotServing || d.evidence.Heard(n.Node, now)):
			old = append(old, n.Node) // unreachable ones may have requests in flight
		}
	}
	f := d.evidence.Facts(old, rollout.InterleaveZones(fresh), now)
	f.Elapsed, f.PhaseAge = now.Sub(v.Began), now.Sub(v.PhaseBegan)
	return f
}

// coordinate makes the next step of the rollout if it is the turn of this node. The second
// coordinator rolls a bad version back at once. A node that hears of less than half of the
// upstreams leaves its turn to others, and ends the rollout only if nobody else does. The
// mutex is held.
func (d *rolloutDriver) coordinate(v *rollout.View, place int, now time.Time) {
	informed := d.isInformed(v, now)
	if !informed {
		place += uninformedPlaces
	}
	acts := rollout.Turn(place, d.silence(v, now))
	if !acts && place > 1 {
		return
	}
	f := d.facts(v, now)
	before := v.Sent(now)
	if before.From == "" && v.Phase == rollout.Pending {
		before.From = d.versionBefore(v, now)
		if before.From == "" && f.Elapsed < versionMemory {
			f.Nodes = nil // the canary begins once the old version is known
		}
	}
	step := d.Bounds.Next(before, f)
	if !acts && !(step.Phase == rollout.RolledBack && f.Verdict.Bad) {
		return
	}
	ends := step.Phase == rollout.RolledBack && !f.Verdict.Bad || step.Completes
	if ends && !informed && f.Elapsed < v.Within.Duration()+rollout.TakeoverTime {
		return
	}
	next := step.State
	next.Sequence, next.Coordinator, next.Silence = v.Sequence+1, d.Self.Node, 0
	changed := next.Phase != v.Phase
	if changed || d.differs(&next, v) || now.Sub(d.lastSent) >= repeatPeriod {
		d.lastSent = now
		d.publish(next, now)
	}
	if changed {
		d.logChange(&next, v.Phase, &f)
	}
	if step.Completes && d.status.states(next.At) { // after the status running
		next.Phase, next.PhaseAge = rollout.Completed, 0
	}
	d.status.save(next, now)
}

// isInformed reports whether the counts of at least half of the reachable upstreams are
// current. The mutex is held.
func (d *rolloutDriver) isInformed(v *rollout.View, now time.Time) bool {
	members, heard := 0, 0
	for _, n := range d.View.Current().UpstreamNodes(v.Service) {
		if n.State == model.Unreachable {
			continue
		}
		members++
		if d.evidence.Heard(n.Node, now) {
			heard++
		}
	}
	return 2*heard >= members
}

// differs reports whether other nodes have to know of a change at once.
func (d *rolloutDriver) differs(next *rollout.State, v *rollout.View) bool {
	return next.From != v.From || len(next.Nodes) != len(v.Nodes) || !slices.Equal(next.Nodes, v.Nodes) || next.Share > 1.3*v.Share || next.Share < 0.7*v.Share
}

// publish makes a state of this node known to all nodes.
func (d *rolloutDriver) publish(s rollout.State, now time.Time) {
	fresh := d.Table.Merge([]rollout.State{s}, now)
	d.Gossip.SpreadRollouts(fresh)
	d.Guard.Go("apply rollout", func() { d.applied(fresh) })
}

func (d *rolloutDriver) logChange(s *rollout.State, before rollout.Phase, f *rollout.Facts) {
	d.changes.WithLabelValues(string(s.Reason)).Inc()
	d.Log.Info("phase of the rollout has changed", zap.String("rollout_of", s.Service), zap.String("from_version", s.From), zap.String("to", s.To),
		zap.String("phase", string(s.Phase)), zap.String("phase_before", string(before)), zap.String("reason", string(s.Reason)), zap.String("route", s.Route),
		zap.Duration("elapsed", f.Elapsed), zap.Duration("within", s.Within.Duration()), zap.Any("old", f.Old), zap.Any("new", f.New),
		zap.Float64("requests_per_second", f.Rate), zap.Float64("against", f.Verdict.Against), zap.Float64("bad_from", f.Verdict.Limit),
		zap.Float64("in_favour", f.Verdict.For), zap.Float64("good_from", f.Verdict.Enough), zap.Int("new_upstreams", len(f.Nodes)),
		zap.Int("old_upstreams", f.OldNodes), zap.Bool("capacity", f.Capacity), zap.Int("old_busy", f.OldBusy), zap.Int("old_open", f.OldOpen))
}

// versionBefore returns the version that was in use before an order: the only one beside
// that of the order, as far as the upstreams have stated it. It returns that of the order
// if all upstreams have it. The mutex is held.
func (d *rolloutDriver) versionBefore(v *rollout.View, now time.Time) string {
	software := d.evidence.Software(now)
	versions := make(map[string]int)
	members, heard := 0, 0
	for _, n := range d.View.Current().UpstreamNodes(v.Service) {
		if n.State == model.Unreachable {
			continue
		}
		members++
		if s := software[n.Node]; s != "" {
			versions[s]++
			heard++
		}
	}
	ordered := versions[v.To]
	delete(versions, v.To)
	switch {
	case len(versions) == 1 && 2*(heard-ordered) >= members-ordered:
		for s := range versions {
			return s
		}
	case len(versions) == 0 && heard > 0 && heard == members && now.Sub(d.since) >= versionMemory:
		return v.To
	}
	return ""
}

const (
	// settleTime is how long after its start a node determines the version in use.
	settleTime = 3 * time.Second
	// absentTime is how long no upstream must have had the version in use for another one
	// to take its place without an order: the service would have no upstreams otherwise.
	absentTime = 10 * time.Second
	// announceJitter spreads the announcements of versions when all nodes start together.
	announceJitter = time.Second
)

// determineVersionInUse determines the version in use of the service of this node, if there
// is no order and no other node has done so: the version of most upstreams when the
// deployment has started for the first time, and later that of all upstreams whose versions
// are known, at least half. The mutex is held.
func (d *rolloutDriver) determineVersionInUse(v *rollout.View, now time.Time) {
	if !d.OnlyOrdered || now.Sub(d.started) < settleTime || !d.View.Loaded() {
		return
	}
	nodes := d.View.Current().UpstreamNodes(d.Self.Service)
	versions := make(map[string]int)
	for _, n := range nodes {
		if n.Software != "" {
			versions[n.Software]++
		}
	}
	var next rollout.State
	switch {
	case v == nil:
		d.announceVersion()
	case versions[v.From] > 0 || len(versions) == 0:
		d.absentSince = time.Time{}
		return
	case d.absentSince.IsZero():
		d.absentSince = now
		return
	case now.Sub(d.absentSince) < absentTime:
		return
	default:
		next.Sequence = v.Sequence + 1
	}
	for _, s := range slices.Sorted(maps.Keys(versions)) {
		if 2*versions[s] <= len(nodes) || len(versions) > 1 && !d.FirstStart && v == nil {
			continue
		}
		next.Service, next.From = d.Self.Service, s
		d.absentSince = time.Time{}
		fresh := d.Table.Merge([]rollout.State{next}, now)
		d.Guard.Go("apply version in use", func() { d.applied(fresh) })
		return
	}
}

// announceVersion announces the version of the upstream of this node once more: the nodes
// that start at the same time do not know each other at first. The mutex is held.
func (d *rolloutDriver) announceVersion() {
	if d.announced || d.Local.Software() == "" {
		return
	}
	d.announced = true
	d.Guard.Go("announce version", func() {
		time.Sleep(rand.N(announceJitter))
		d.Gossip.Announce(context.Background())
	})
}

// statusWriter keeps the status of the service of this node in the store. Its methods do
// not block.
type statusWriter struct {
	driver *rolloutDriver

	mu       sync.Mutex
	active   bool // a request is running
	known    bool // revision is that of the row
	revision follow.Revision
	row      rollout.State // what the row holds, as far as is known
	lastTry  time.Time
}

// save writes a status unless the store has it or another write is running.
func (w *statusWriter) save(s rollout.State, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active || now.Sub(w.lastTry) < statusRetry && !w.known || w.known && w.row.At.Revision == s.At.Revision && w.row.Phase == s.Phase {
		return
	}
	w.active, w.lastTry = true, now
	w.driver.Guard.Go("write status", func() {
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.active = false
		}()
		w.write(s)
	})
}

// states reports whether the store has a status of the order at a position.
func (w *statusWriter) states(at follow.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known && w.row.HasOrder() && w.row.At.Revision == at.Revision
}

// write writes a status. It first reads the row if its revision is not known.
func (w *statusWriter) write(s rollout.State) {
	d := w.driver
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	if !w.isKnown() {
		all, err := d.Store.Statuses(ctx)
		if err != nil {
			d.Log.Debug("status of the rollout cannot be read", zap.Error(err))
			return
		}
		w.set(statusOf(all, s.Service))
		if w.adopt() {
			return
		}
	}
	if w.current().At.After(s.At) {
		return // of a later order, which this node does not know yet
	}
	if row := w.current(); row.To != "" && row.To != s.To && !row.Phase.Final() && row.At.Revision != s.At.Revision {
		row.State.Phase, row.State.Reason = rollout.RolledBack, rollout.Superseded // the upstreams of that version have to drain
		if !w.put(ctx, row.State) {
			return
		}
	}
	if w.put(ctx, s) && s.Phase.Final() {
		s.Written, s.Sequence = true, s.Sequence+1
		now := time.Now()
		d.Log.Info("rollout has ended", zap.String("rollout_of", s.Service), zap.String("to", s.To), zap.String("phase", string(s.Phase)), zap.String("reason", string(s.Reason)),
			zap.Duration("elapsed", s.Age.Duration()), zap.Duration("within", s.Within.Duration()), zap.Any("old", s.Old), zap.Any("new", s.New))
		d.publish(s, now)
	}
}

func (w *statusWriter) isKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known
}

func (w *statusWriter) current() rollout.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rollout.Status{State: w.row, Revision: w.revision}
}

func (w *statusWriter) set(s rollout.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known, w.revision, w.row = true, s.Revision, s.State
}

// forget makes the next write read the row first.
func (w *statusWriter) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = false
}

// put writes a status over the known row and reports whether it is written. After a
// conflict, the row is known again and has taken effect.
func (w *statusWriter) put(ctx context.Context, s rollout.State) bool {
	saved, err := w.driver.Store.SaveStatus(ctx, s, w.current().Revision)
	switch {
	case errors.Is(err, rollout.ErrConflict):
		w.set(saved)
		w.adopt()
		return false
	case err != nil:
		w.driver.Log.Warn("status of the rollout cannot be written yet", zap.String("rollout_of", s.Service), zap.String("phase", string(s.Phase)), zap.Error(err))
		w.forget()
		return false
	}
	w.set(saved)
	return true
}

// adopt applies the known row if it is that of the present order. It reports whether that
// has ended the rollout.
func (w *statusWriter) adopt() bool {
	row := w.current()
	fresh := w.driver.adoptStatus(row)
	return slices.ContainsFunc(fresh, func(s rollout.State) bool { return s.Phase.Final() && s.Written })
}

func statusOf(all []rollout.Status, service string) rollout.Status {
	for _, s := range all {
		if s.Service == service {
			return s
		}
	}
	return rollout.Status{}
}

// adoptStatus applies a row of the store. A row of an earlier order shows only which
// version was in use before. It returns what was new.
func (d *rolloutDriver) adoptStatus(s rollout.Status) []rollout.State {
	v := d.Table.Current().Of(s.Service)
	if s.Service == "" || v == nil || !v.HasOrder() {
		return nil
	}
	now := time.Now()
	state := s.State
	if s.At.Revision == v.At.Revision || s.At.Revision == 0 && s.To == v.To {
		state.At, state.Within, state.To = v.At, v.Within, v.To
	} else {
		state = v.Sent(now)
		if state.From != "" {
			return nil
		}
		state.From = s.InUse()
		if s.Phase != rollout.Completed && s.Phase != rollout.Pending {
			state.Barred = append(state.Barred, s.To)
		}
	}
	fresh := d.Table.Merge([]rollout.State{state}, now)
	d.Guard.Go("apply status", func() { d.applied(fresh) })
	return fresh
}

// readAll reads all statuses until that succeeds, and applies them. If the store was
// restored from an older copy, ends of rollouts that it has lost are written again.
func (w *statusWriter) readAll(restored bool) {
	d := w.driver
	if restored {
		w.forget()
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		all, err := d.Store.Statuses(ctx)
		if err == nil {
			for _, s := range all {
				d.adoptStatus(s)
			}
			if restored && d.Gossip.AnnouncesRollouts() {
				d.writeLost(ctx, all)
			}
		}
		cancel()
		if err == nil || !restored && !d.needsStatuses() {
			return
		}
		time.Sleep(statusRetry)
	}
}

// writeLost writes the ends of rollouts that the store has lost.
func (d *rolloutDriver) writeLost(ctx context.Context, all []rollout.Status) {
	now := time.Now()
	for _, v := range d.Table.Current().All() {
		row := statusOf(all, v.Service)
		if !v.Phase.Final() || row.To == v.To && row.Phase == v.Phase {
			continue
		}
		_, err := d.Store.SaveStatus(ctx, v.Sent(now), row.Revision)
		d.Log.Warn("end of a rollout that the store has lost is written again", zap.String("rollout_of", v.Service), zap.String("to", v.To),
			zap.String("phase", string(v.Phase)), zap.Error(err))
	}
}
