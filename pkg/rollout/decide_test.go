package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func running(p Phase) State {
	return State{Service: "s", To: "v2", From: "v1", Within: 12000, At: follow.At(7), Phase: p, Sequence: 1}
}

var twoNodes = []model.NodeID{"a", "b"}

// Guards the conditions of each change of the phase.
func TestPhaseChanges(t *testing.T) {
	good, bad := Verdict{Good: true, Sure: true}, Verdict{Bad: true, Reason: Slow, Route: "r"}
	busy := Tally{Requests: 3000}
	for _, c := range []struct {
		name      string
		from      Phase
		facts     Facts
		want      Phase
		reason    Reason
		completes bool
	}{
		{"no upstream yet", Pending, Facts{Elapsed: time.Second}, Pending, "", false},
		{"no upstream in time", Pending, Facts{Elapsed: 11 * time.Second}, RolledBack, NoUpstreams, false},
		{"upstreams", Pending, Facts{Elapsed: time.Second, Nodes: twoNodes}, Canary, UpstreamsFound, false},
		{"canary goes on", Canary, Facts{Elapsed: 5 * time.Second, Nodes: twoNodes, Verdict: good, Capacity: true, Rate: 300, Old: busy}, Canary, "", false},
		{"load test", Canary, Facts{Elapsed: 7 * time.Second, Nodes: twoNodes, Rate: 300, Old: busy, New: Tally{Requests: 100}}, LoadTest, TimeForLoadTest, false},
		{"no load test of a suspicious version", Canary, Facts{Elapsed: 7 * time.Second, Nodes: twoNodes, Rate: 300, Old: busy, New: Tally{Requests: 100}, Verdict: Verdict{Against: 4}}, Canary, "", false},
		{"no load test without a canary", Canary, Facts{Elapsed: 7 * time.Second, Nodes: twoNodes, Rate: 300, Old: busy, New: Tally{Requests: 10}}, Canary, "", false},
		{"no room for a load test", Canary, Facts{Elapsed: 7 * time.Second, Nodes: twoNodes, Rate: 300, Old: busy, New: Tally{Requests: 400}}, Canary, "", false},
		{"cutover", LoadTest, Facts{Elapsed: 8500 * time.Millisecond, Nodes: twoNodes, Verdict: good, Capacity: true, Rate: 300}, Cutover, VersionGood, false},
		{"not enough counts yet", LoadTest, Facts{Elapsed: 9 * time.Second, Nodes: twoNodes, Capacity: true, Rate: 300}, LoadTest, "", false},
		{"not enough counts", LoadTest, Facts{Elapsed: 10500 * time.Millisecond, Nodes: twoNodes, Capacity: true, Rate: 300}, RolledBack, TooFewCounts, false},
		{"too little capacity yet", LoadTest, Facts{Elapsed: 9 * time.Second, Nodes: twoNodes, Verdict: good, Rate: 300}, LoadTest, "", false},
		{"too little capacity", LoadTest, Facts{Elapsed: 10500 * time.Millisecond, Nodes: twoNodes, Verdict: good, Rate: 300}, RolledBack, TooLittleCapacity, false},
		{"bad in the canary", Canary, Facts{Elapsed: time.Second, Nodes: twoNodes, Verdict: bad}, RolledBack, Slow, false},
		{"bad in the cutover", Cutover, Facts{Elapsed: 9 * time.Second, Nodes: twoNodes, Verdict: bad}, RolledBack, Slow, false},
		{"requests in flight", Cutover, Facts{Elapsed: 9 * time.Second, PhaseAge: time.Second, Nodes: twoNodes, Verdict: good, OldBusy: 1}, Cutover, "", false},
		{"old upstreams still accept", Cutover, Facts{Elapsed: 9 * time.Second, PhaseAge: time.Second, Nodes: twoNodes, Verdict: good, OldOpen: 1}, Cutover, "", false},
		{"drained", Cutover, Facts{Elapsed: 9700 * time.Millisecond, PhaseAge: 1100 * time.Millisecond, Nodes: twoNodes, Verdict: good}, Cutover, Drained, true},
		{"drained soon", Cutover, Facts{Elapsed: 9 * time.Second, PhaseAge: 500 * time.Millisecond, Nodes: twoNodes, Verdict: good}, Cutover, "", false},
		{"not sure", Cutover, Facts{Elapsed: 9 * time.Second, PhaseAge: time.Second, Nodes: twoNodes, Verdict: Verdict{Good: true}}, Cutover, "", false},
		{"a node does not answer", Cutover, Facts{Elapsed: 10500 * time.Millisecond, PhaseAge: DrainLimit, Nodes: twoNodes, Verdict: good, OldOpen: 1}, Cutover, DrainTimeOver, true},
		{"long request", Cutover, Facts{Elapsed: 10500 * time.Millisecond, PhaseAge: DrainLimit, Nodes: twoNodes, Verdict: good, OldBusy: 1}, Cutover, "", false},
		{"very long request", Cutover, Facts{Elapsed: 11400 * time.Millisecond, PhaseAge: 3 * time.Second, Nodes: twoNodes, Verdict: good, OldBusy: 1}, Cutover, DrainTimeOver, true},
		{"rolled back stays", RolledBack, Facts{Elapsed: time.Second, Nodes: twoNodes, Verdict: good}, RolledBack, "", false},
		{"completed stays", Completed, Facts{Elapsed: time.Second, Verdict: bad}, Completed, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			step := testBounds.Next(running(c.from), c.facts)
			is.Equal(step.Phase, c.want)
			is.Equal(step.Completes, c.completes)
			is.Equal(step.Reason, c.reason)
			if !step.Phase.running() {
				is.Equal(step.Share, 0.0)
			}
		})
	}
}

// Guards against an order that is carried out although the operator has withdrawn it, or
// that is not completed although its version is in use already.
func TestOrdersWithoutTraffic(t *testing.T) {
	is := is.New(t)
	s := running(Canary)
	s.Withdrawn = true
	is.Equal(testBounds.Next(s, Facts{Nodes: twoNodes}).Phase, RolledBack)
	s = running(Pending)
	s.From = "v2"
	is.True(testBounds.Next(s, Facts{}).Completes)
}

// Guards against a canary that uses more than half of the exposure, or that overloads the
// few upstreams that it uses.
func TestShareOfTheCanary(t *testing.T) {
	is := is.New(t)
	share := func(f Facts) float64 { return testBounds.canaryShare(&f, 12*time.Second) }
	is.Equal(share(Facts{}), 0.05)
	early := Facts{Elapsed: time.Second, Rate: 500, Old: Tally{Requests: 475}, New: Tally{Requests: 25}}
	is.True(share(early) > 0.04 && share(early) < 0.07)
	over := Facts{Elapsed: 6 * time.Second, Rate: 500, Old: Tally{Requests: 2600}, New: Tally{Requests: 400}}
	is.Equal(share(over), 0.0)
	is.True(share(Facts{Elapsed: time.Second, Rate: 10, Old: Tally{Requests: 10}}) > 0.1) // the tolerance permits more
	is.Equal(subset(0.05, 40, 40), 3)
	is.Equal(subset(0.5, 20, 30), 20)
	is.Equal(subset(0.05, 20, 2), 2)
	is.Equal(subset(1, 20, 30), 30)
	step := testBounds.Next(running(Canary), Facts{Elapsed: time.Second, Nodes: twoNodes, OldNodes: 20})
	is.Equal(step.Nodes, HashNodes(twoNodes))
}

// Guards against times that leave no time for the cutover of a short order.
func TestTimesOfShortOrders(t *testing.T) {
	is := is.New(t)
	for _, limit := range []time.Duration{time.Second, 3 * time.Second, 12 * time.Second, time.Hour} {
		at := testBounds.times(limit)
		is.True(at.loadTest >= 0 && at.loadTest < at.cutover && at.cutover < at.latest && at.latest < limit)
	}
}

// Guards against a cutover to upstreams that cannot carry the service, and against one
// that is put off because the service has more calls than the old upstreams can run.
func TestCapacityOfTheNewVersion(t *testing.T) {
	for _, c := range []struct {
		name              string
		oldSlots, running int
		waiting, newSlots int
		want              bool
	}{
		{"enough", 10, 6, 0, 10, true}, {"half of the slots", 10, 8, 0, 4, false}, {"overload", 10, 10, 30, 10, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEvidence(orderAt(7, "v2"))
			now := begin
			for i := range 40 {
				now = now.Add(CountPeriod)
				for _, id := range []model.NodeID{"old1", "old2"} {
					e.Add(Counts{Node: id, Service: "s", At: follow.At(7), Started: 1, Sequence: uint64(i), Software: "v1", Ready: true, Slots: c.oldSlots, Running: c.running, Waiting: c.waiting}, now)
				}
				for _, id := range []model.NodeID{"new1", "new2"} {
					e.Add(Counts{Node: id, Service: "s", At: follow.At(7), Started: 1, Sequence: uint64(i), Software: "v2", Ready: true, Slots: c.newSlots}, now)
				}
				e.Tick(now)
			}
			is := is.New(t)
			is.Equal(e.Ready(now), []model.NodeID{"new1", "new2"})
			f := e.Facts([]model.NodeID{"old1", "old2"}, e.Ready(now), now)
			is.Equal(f.Capacity, c.want)
			is.Equal(f.OldOpen, 2)
			is.Equal(len(e.Ready(now.Add(2*time.Second))), 0) // their counts are missing
		})
	}
}

// Guards against counts that are used twice or lost when messages are lost, repeated or
// late, and when a process restarts.
func TestCountsSurviveLostMessages(t *testing.T) {
	is := is.New(t)
	e := NewEvidence(orderAt(7, "v2"))
	counts := func(started int64, sequence, n, failed uint64) Counts {
		return Counts{Node: "a", Service: "s", At: follow.At(7), Started: started, Sequence: sequence, Software: "v1", Routes: []RouteCounts{{Route: "r", Requests: n, Failures: failed, Times: []uint64{10, n - failed}}}}
	}
	add := func(c Counts) {
		is.NoErr(c.Check())
		e.Add(c, begin)
		e.Tick(begin)
	}
	add(counts(1, 1, 10, 1))
	add(counts(1, 4, 30, 2)) // two were lost
	add(counts(1, 3, 20, 2)) // late
	add(counts(1, 4, 30, 2)) // repeated
	is.Equal(e.old, Tally{Requests: 30, Failures: 2})
	add(counts(2, 1, 5, 0)) // a new process
	add(counts(1, 5, 40, 2))
	is.Equal(e.old, Tally{Requests: 35, Failures: 2})
	other := counts(2, 2, 50, 0)
	other.At = follow.At(8)
	add(other)
	is.Equal(e.old.Requests, uint64(35))
	for i := range 3 * maxWindows {
		add(counts(2, uint64(3+i), uint64(6+i), 0))
	}
	is.True(len(e.windows) <= maxWindows)
	var sum uint64
	for _, w := range e.windows {
		for _, c := range w {
			sum += c.requests
		}
	}
	is.Equal(sum, e.old.Requests)
}

// Guards against counts of the former upstream that are taken for those of the one that
// has replaced it, and against requests of a cold upstream that count for the verdict.
func TestRecorderCountsOneVersion(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(follow.At(7), begin)
	r.Record("v1", "a", Answered, 30*time.Millisecond)
	r.Record("v1", "a", Failed, 30*time.Millisecond)
	r.Record("v1", "a", Cold, time.Second)
	is.Equal(r.Counts("v1"), []RouteCounts{{Route: "a", Requests: 2, Failures: 1, Cold: 1, Times: []uint64{10, 1}}})
	r.Record("v2", "b", Answered, 0)
	is.Equal(r.Counts("v2"), []RouteCounts{{Route: "b", Requests: 1, Times: []uint64{0, 1}}})
	for i := range 3 * maxRoutes {
		r.Record("v2", string(rune('A'+i)), Answered, time.Hour)
	}
	c := Counts{Node: "n", Service: "s", Routes: r.Counts("v2")}
	is.True(len(c.Routes) <= maxRoutes+1)
	is.NoErr(c.Check())
	c.Routes[0].Times = []uint64{30, 1, 1}
	is.True(c.Check() != nil)
}
