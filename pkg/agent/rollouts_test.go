package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/gateway"
	"github.com/lentilflow/lentilflow/pkg/gossip"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/relay"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

var errStoreAway = errors.New("store is away")

// statusStore is a store of statuses with one row, in memory.
type statusStore struct {
	away atomic.Bool

	mu      sync.Mutex
	row     rollout.Status
	written []rollout.State // all rows, in their order
	next    follow.Revision
	// loseNext applies the next write, but returns an error.
	loseNext bool
}

// Statuses implements rollout.Store.
func (s *statusStore) Statuses(context.Context) ([]rollout.Status, error) {
	if s.away.Load() {
		return nil, errStoreAway
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row.Service == "" {
		return nil, nil
	}
	return []rollout.Status{s.row}, nil
}

// SaveStatus implements rollout.Store.
func (s *statusStore) SaveStatus(_ context.Context, state rollout.State, expected follow.Revision) (rollout.Status, error) {
	if s.away.Load() {
		return rollout.Status{}, errStoreAway
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row.Revision != expected {
		return s.row, rollout.ErrConflict
	}
	state.Written = state.Phase.Final()
	s.next++
	s.row = rollout.Status{State: state, Revision: 100 + s.next}
	s.written = append(s.written, state)
	if s.loseNext {
		s.loseNext = false
		return rollout.Status{}, errStoreAway
	}
	return s.row, nil
}

// restore replaces the row by an older one.
func (s *statusStore) restore(row rollout.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row = row
}

// states returns the states that the platform has seen, without repetitions.
func (s *statusStore) states() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.written {
		state := "running"
		if w.Phase.Final() {
			state = string(w.Phase)
		}
		if text := w.To + " " + state; len(all) == 0 || all[len(all)-1] != text {
			all = append(all, text)
		}
	}
	return all
}

// driverNode is a node that takes part in rollouts, without listeners for calls.
type driverNode struct {
	*rolloutDriver
	software string
	end      context.CancelFunc
	ended    atomic.Bool
}

// driverFleet is a few nodes of the service "s", with a simulated load.
type driverFleet struct {
	t     *testing.T
	store *statusStore
	nodes []*driverNode
	// fails is the probability that a request on the new version fails.
	fails    atomic.Value // float64
	requests [2]atomic.Int64
	stopLoad func()
}

const (
	oldDrivers, newDrivers = 5, 4
	// driverLimit is the time limit of the orders in these tests.
	driverLimit = 6 * time.Second
)

func newDriverFleet(t *testing.T) *driverFleet {
	f := &driverFleet{t: t, store: &statusStore{}}
	f.fails.Store(0.0)
	for i := range oldDrivers + newDrivers {
		software := "v1"
		if i >= oldDrivers {
			software = "v2"
		}
		f.nodes = append(f.nodes, f.start(fmt.Sprintf("n%d", i), software))
	}
	f.introduce()
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() { f.load(ctx) })
	f.stopLoad = func() {
		cancel()
		load.Wait()
	}
	t.Cleanup(func() {
		f.stopLoad()
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

// start starts a node beside an upstream of a version.
func (f *driverFleet) start(name, software string) *driverNode {
	e := echo.New()
	server := httptest.NewServer(e)
	at := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		f.t.Fatal(err)
	}
	self := fleet.Member{
		Node: model.NodeID(name), Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: socket.LocalAddr().String(),
		Location: model.Location{Region: "r", AvailabilityZone: model.AvailabilityZone("z" + string('0'+(name[1]-'0')%3))},
	}
	table, view, holder := rollout.NewTable(5*time.Second), fleet.NewView(), config.NewHolder()
	local := gateway.NewLocal(&gateway.Local{
		Node: self.Node, Service: "s", Log: zap.NewNop(), Config: holder, CrashRecords: crashguard.NewMemoryRegistry(time.Now), Link: shaping.NewLink(0),
		Metrics: gateway.NewMetrics(prometheus.NewRegistry()), OnServingChange: func(bool) {}, Rollouts: table,
	}, "127.0.0.1:1")
	local.RecoverDepartures(nil, true)
	for sequence := range uint64(2) {
		local.Report(upstream.Report{ID: name, Start: upstream.StartedAt(1), Sequence: sequence + 1, Service: "s", Slots: 10, Software: software})
	}
	n := &driverNode{software: software}
	g := &gossip.Node{
		Self: self, Config: holder, View: view, Notices: crashguard.NewMemoryRegistry(time.Now), Departures: recovery.NewDepartures(time.Time{}),
		Serving: func() bool { return true }, ApplyTime: relay.MinApplyTime, Client: gossip.NewClient(), Log: zap.NewNop(), Datagrams: socket, Rollouts: table,
		OnRollouts: func(fresh []rollout.State, from model.NodeID) { n.onRollouts(fresh, from) }, OnCounts: func(c rollout.Counts) { n.onCounts(c) },
		Software: local.Software, OnEra: func(follow.Era) {}, OnFleet: func([]model.NodeID) {},
	}
	g.Init(time.Now())
	g.RegisterHandlers(e)
	n.rolloutDriver = &rolloutDriver{
		Table: table, Bounds: rollout.Bounds{Exposure: 0.1, Tolerance: 50, Rollback: 5 * time.Second}, Store: f.store, Self: self, Local: local, View: view,
		Gossip: g, Config: holder, Log: zap.NewNop(),
	}
	n.init(prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	n.end = func() {
		cancel()
		_ = socket.Close()
		server.Close()
	}
	go func() { _ = n.run(ctx) }()
	go func() { _ = g.RunBeacons(ctx) }()
	go func() { _ = g.ReadDatagrams(ctx) }()
	return n
}

func (n *driverNode) stop() {
	n.ended.Store(true)
	n.end()
}

// introduce makes all nodes known to each other, with the versions of their upstreams.
func (f *driverFleet) introduce() {
	var members []fleet.Member
	for _, n := range f.nodes {
		members = append(members, n.Self)
	}
	for _, n := range f.nodes {
		n.View.Replace(members, follow.At(1), time.Now())
		for _, o := range f.nodes {
			n.View.SetSoftware(o.Self.Node, o.software)
		}
	}
}

// load simulates 600 requests per second at random nodes of callers, with the choice of the
// gateway.
func (f *driverFleet) load(ctx context.Context) {
	const period = 10 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(period)
		for range 6 {
			f.request()
		}
	}
}

func (f *driverFleet) request() {
	now := time.Now()
	caller := f.nodes[rand.IntN(len(f.nodes))]
	v := caller.view()
	if caller.ended.Load() || v == nil {
		return
	}
	var old, fresh []*driverNode
	for _, n := range f.nodes {
		switch v.SideOf(n.Self.Node, n.software) {
		case rollout.Old:
			old = append(old, n)
		case rollout.New:
			fresh = append(fresh, n)
		}
	}
	set, key, side := old, "", 0
	if rand.Float64() < v.ShareAt(now) && len(fresh) > 0 {
		set, key, side = fresh, v.Key(), 1
	}
	if len(set) == 0 {
		return
	}
	n := set[rand.IntN(len(set))]
	nv := n.view()
	if n.ended.Load() || nv == nil || !nv.Admit(n.software, key, now) {
		return
	}
	f.requests[side].Add(1)
	outcome := rollout.Answered
	if side == 1 && rand.Float64() < f.fails.Load().(float64) {
		outcome = rollout.Failed
	}
	n.mu.Lock()
	recorder := n.recorder
	n.mu.Unlock()
	if recorder != nil {
		recorder.Record(n.software, "r", outcome, time.Duration(20+rand.IntN(20))*time.Millisecond)
	}
}

// order makes some nodes read an order from the store.
func (f *driverFleet) order(revision follow.Revision, to string) rollout.Reading {
	r := rollout.Reading{Orders: []rollout.Order{{Service: "s", To: to, Within: driverLimit, At: follow.Position{Era: 1, Revision: revision}}}, At: follow.Position{Era: 1, Revision: revision}}
	for _, n := range f.nodes[:3] {
		if !n.ended.Load() {
			n.onOrders(r)
		}
	}
	return r
}

func (f *driverFleet) await(timeout time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for _, n := range f.nodes {
		if v := n.view(); v != nil {
			f.t.Logf("%s: %s %s by %s, order %s ago", n.Self.Node, v.Phase, v.Reason, v.Coordinator, time.Since(v.Began))
		}
	}
	f.t.Fatalf("condition does not hold after %s: %s; statuses %v", timeout, what, f.store.states())
}

// allIn reports whether all nodes that run know a phase.
func (f *driverFleet) allIn(p rollout.Phase) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *driverNode) bool {
			v := n.view()
			return !n.ended.Load() && (v == nil || v.Phase != p)
		})
	}
}

// coordinator returns the node that coordinates.
func (f *driverFleet) coordinator() *driverNode {
	f.await(driverLimit, "a node coordinates", func() bool { v := f.nodes[0].view(); return v != nil && v.Coordinator != "" })
	for _, n := range f.nodes {
		if n.Self.Node == f.nodes[0].view().Coordinator {
			return n
		}
	}
	f.t.Fatal("coordinator is not known")
	return nil
}

const finalTimeout = driverLimit + 10*time.Second

// Guards the whole way of a good and of a bad version: the phases at all nodes, the status
// in the store, and the number of requests that a bad version gets.
func TestRolloutEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails float64
		phase rollout.Phase
	}{{"good", 0, rollout.Completed}, {"bad", 0.25, rollout.RolledBack}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newDriverFleet(t)
			f.fails.Store(c.fails)
			began := time.Now()
			f.order(7, "v2")
			f.await(finalTimeout, "the rollout has ended", f.allIn(c.phase))
			is.True(time.Since(began) < driverLimit+2*time.Second) // a loaded machine may be late
			time.Sleep(time.Until(began.Add(driverLimit)))
			f.await(finalTimeout, "the status is written", func() bool { return len(f.store.states()) == 2 })
			is.Equal(f.store.states(), []string{"v2 running", "v2 " + string(c.phase)})
			if c.fails > 0 {
				old, fresh := f.requests[0].Load(), f.requests[1].Load()
				t.Logf("%d requests on the old version, %d on the bad one", old, fresh)
				is.True(fresh <= (old+fresh)/10+50)
			}
		})
	}
}

// Guards against a rollout that stands still because its coordinator ends, also between the
// cutover and the end, and against two ends of one rollout.
func TestNextNodeContinuesRollout(t *testing.T) {
	for _, p := range []rollout.Phase{rollout.Canary, rollout.Cutover} {
		t.Run(string(p), func(t *testing.T) {
			f := newDriverFleet(t)
			f.order(7, "v2")
			first := f.coordinator()
			f.await(driverLimit, "the phase has begun", func() bool { return first.view().Phase == p || first.view().Phase.Final() })
			first.stop()
			for _, n := range f.nodes {
				n.View.SetUnreachable(first.Self.Node, time.Now())
			}
			f.await(finalTimeout, "the rollout has ended", func() bool { return f.allIn(rollout.Completed)() || f.allIn(rollout.RolledBack)() })
			f.await(finalTimeout, "one end is written", func() bool { return len(f.store.states()) == 2 })
		})
	}
}

// Guards against harm by two nodes that coordinate at the same time, because one of them
// takes the other one for unreachable.
func TestTwoCoordinatorsDoNoHarm(t *testing.T) {
	f := newDriverFleet(t)
	f.order(7, "v2")
	first := f.coordinator()
	for _, n := range f.nodes {
		if n != first {
			n.View.SetUnreachable(first.Self.Node, time.Now())
		}
	}
	f.await(finalTimeout, "the rollout has ended", f.allIn(rollout.Completed))
	is.New(t).Equal(f.store.states(), []string{"v2 running", "v2 completed"})
}

// Guards against a completed rollout without a status, against a rollback that waits for the
// store, and against a status that is written twice because its response was lost.
func TestStoreIsAwayDuringRollout(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails float64
		phase rollout.Phase
	}{{"good", 0, rollout.Completed}, {"bad", 0.25, rollout.RolledBack}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newDriverFleet(t)
			f.fails.Store(c.fails)
			f.order(7, "v2")
			f.await(driverLimit, "the rollout is running", func() bool { return len(f.store.states()) == 1 })
			f.store.away.Store(true)
			if c.fails > 0 {
				f.await(driverLimit, "no node sends to the bad version", f.allIn(rollout.RolledBack))
			} else {
				f.await(finalTimeout, "the cutover has begun", f.allIn(rollout.Cutover))
				time.Sleep(2 * time.Second)
				is.True(f.allIn(rollout.Cutover)())
			}
			is.Equal(len(f.store.states()), 1)
			f.store.mu.Lock()
			f.store.loseNext = true
			f.store.mu.Unlock()
			f.store.away.Store(false)
			f.await(finalTimeout, "the end is known", func() bool {
				return f.allIn(c.phase)() && !slices.ContainsFunc(f.nodes, func(n *driverNode) bool { return !n.view().Written })
			})
			is.Equal(f.store.states(), []string{"v2 running", "v2 " + string(c.phase)})
		})
	}
}

// Guards against an end that is forgotten because the store is restored from an older copy,
// or because all processes restart.
func TestEndSurvivesRestoreAndRestart(t *testing.T) {
	is := is.New(t)
	f := newDriverFleet(t)
	f.fails.Store(0.3)
	r := f.order(7, "v2")
	f.await(finalTimeout, "the end is written", func() bool { return f.allIn(rollout.RolledBack)() && len(f.store.states()) == 2 })
	f.store.mu.Lock()
	older := rollout.Status{State: f.store.written[0], Revision: 101}
	f.store.mu.Unlock()
	f.store.restore(older)
	r.Whole, r.At.Era, r.Orders[0].At.Era = true, 2, 2
	for _, n := range f.nodes {
		n.era.Store(1)
		n.onOrders(r)
	}
	f.await(finalTimeout, "the end is written again", func() bool {
		all, _ := f.store.Statuses(t.Context())
		return all[0].Phase == rollout.RolledBack
	})

	f.stopLoad()
	for i, n := range f.nodes { // all processes restart
		n.stop()
		f.nodes[i] = f.start(string(n.Self.Node), n.software)
	}
	f.introduce()
	for _, n := range f.nodes {
		n.onOrders(r)
	}
	f.await(finalTimeout, "the end is known again", f.allIn(rollout.RolledBack))
	for _, n := range f.nodes {
		is.True(!n.view().Admit("v2", "7", time.Now()))
	}
}

// Guards against a second order that leaves the first one in effect, and against upstreams of
// the first one that never drain.
func TestSecondOrderReplacesFirst(t *testing.T) {
	f := newDriverFleet(t)
	f.order(7, "v2")
	f.await(driverLimit, "the canary has begun", f.allIn(rollout.Canary))
	f.order(9, "v3")
	f.await(finalTimeout, "the second order has ended", f.allIn(rollout.RolledBack)) // no upstream has its version
	is := is.New(t)
	is.Equal(f.nodes[0].view().To, "v3")
	is.True(!f.nodes[0].view().Serves("v2"))
	is.True(f.nodes[0].view().Serves("v1"))
	f.await(finalTimeout, "all statuses are written", func() bool { return len(f.store.states()) == 4 })
	is.Equal(f.store.states(), []string{"v2 running", "v2 rolled_back", "v3 running", "v3 rolled_back"})
}

// Guards against a cutover without enough counts: the messages of the nodes beside the new
// upstreams are lost.
func TestRolloutWithoutCountsIsRolledBack(t *testing.T) {
	f := newDriverFleet(t)
	f.stopLoad()
	f.order(7, "v2")
	f.await(finalTimeout, "the rollout has ended", f.allIn(rollout.RolledBack))
	is.New(t).Equal(f.nodes[0].view().Reason, rollout.TooFewCounts)
}
