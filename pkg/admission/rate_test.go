package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/ratecheck"
)

var simulationStart = time.Unix(0, 0)

// limitedRun is what happened to the calls of a simulation.
type limitedRun struct {
	started     []time.Time // on the clock of the simulation, which starts at simulationStart
	startedBy   [Ranks]int
	inTime      int // calls that ended within their latency target
	refused     int
	longestHeld time.Duration // from the arrival of a call to its refusal
}

// limitedLoad is a Poisson load of one rank.
type limitedLoad struct {
	rank model.Rank
	rate float64 // calls per second
}

// simulateLimited offers loads to an upstream with a rate limit and 13 slots of
// 62 ms for 20 s of virtual time. Calls have a latency target of 250 ms and a
// deadline of 800 ms.
func simulateLimited(limits Limits, loads []limitedLoad) limitedRun {
	const (
		length   = 20 * time.Second
		service  = 62 * time.Millisecond
		target   = 250 * time.Millisecond
		deadline = 800 * time.Millisecond
	)
	limits.Slots = 13
	rnd := rand.New(rand.NewPCG(3, 9))
	c := NewCore(limits)
	var res limitedRun
	type end struct {
		at time.Duration
		w  *Waiter
	}
	var running []end
	next := make([]time.Duration, len(loads))
	for now := time.Duration(0); now < length; now += time.Millisecond {
		start := func(w *Waiter) {
			res.started = append(res.started, simulationStart.Add(now))
			res.startedBy[w.Rank]++
			running = append(running, end{now + service, w})
			if now+service <= w.Due {
				res.inTime++
			}
		}
		refuse := func(w *Waiter) {
			res.refused++
			res.longestHeld = max(res.longestHeld, now+deadline-w.Deadline)
		}
		kept := running[:0]
		for _, r := range running {
			if r.at > now {
				kept = append(kept, r)
				continue
			}
			c.Done(now, r.w, Completed)
		}
		running = kept
		for w := c.Expire(now); w != nil; w = c.Expire(now) {
			refuse(w)
		}
		for i, l := range loads {
			for ; next[i] <= now; next[i] += time.Duration(rnd.ExpFloat64() / l.rate * float64(time.Second)) {
				w := &Waiter{Call: Call{Rank: l.rank, Rule: "r", Deadline: now + deadline, Due: now + target}}
				d, dropped := c.Arrive(now, w)
				if dropped != nil {
					refuse(dropped)
				}
				switch d {
				case Admitted:
					start(w)
				case Overloaded, DeadlineUnreachable:
					refuse(w)
				}
			}
		}
		for w, admitted := c.Next(now); w != nil; w, admitted = c.Next(now) {
			if admitted {
				start(w)
			} else {
				refuse(w)
			}
		}
	}
	return res
}

// Guards against more requests in some window than the users permit, at any rate
// and load, and against a limit that is not used while calls wait.
func TestRateLimitBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 60).Draw(t, "rate")
		load := rapid.Float64Range(1, 200).Draw(t, "load")
		res := simulateLimited(Limits{RateLimited: true, RateLimit: rate}, []limitedLoad{{0, load}})
		if got, permitted := ratecheck.Most(res.started, simulationStart.Add(-1)), ratecheck.Permitted(rate); got > permitted {
			t.Fatalf("%d calls started in %s, permitted %d", got, ratecheck.Window, permitted)
		}
		if expected := 20 * rate; load > 3*rate && rate > 5 && float64(len(res.started)) < 0.9*expected {
			t.Fatalf("%d calls started, the limit permits %.0f", len(res.started), expected)
		}
	})
}

// Guards against a less urgent rank that gets nothing under a rate limit: few
// calls run at a time, so that every rank seems to be below its floor of slots.
func TestFloorsHoldUnderRateLimit(t *testing.T) {
	is := is.New(t)
	limits := Limits{RateLimited: true, RateLimit: 20}
	limits.Floors[0], limits.Floors[5] = 10, 10
	res := simulateLimited(limits, []limitedLoad{{0, 100}, {5, 100}})
	share := float64(res.startedBy[5]) / float64(len(res.started))
	t.Logf("rank 5 got %.3f of the starts", share)
	is.True(share >= 0.09) // the floor, less the calls in progress at the start and the end
	is.True(res.startedBy[0] > res.startedBy[5])
}

// The load of the users' capped day: calls for a limited upstream exceed its rate
// by half. Guards against a queue as long as the slots permit, in which nearly
// every call misses its latency target or is held until its deadline.
func TestQueueOfLimitedUpstreamKeepsTargets(t *testing.T) {
	is := is.New(t)
	res := simulateLimited(Limits{RateLimited: true, RateLimit: 40}, []limitedLoad{{0, 60}})
	t.Logf("%d started, %d in time, %d refused, held for %s at most", len(res.started), res.inTime, res.refused, res.longestHeld)
	is.True(float64(res.inTime) >= 0.9*float64(len(res.started)))
	is.True(res.longestHeld < 250*time.Millisecond) // the latency target
}

// Guards against calls that wait for an upstream which takes none: they are
// refused at once.
func TestZeroRateLimitRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	res := simulateLimited(Limits{RateLimited: true, RateLimit: 0}, []limitedLoad{{0, 50}})
	is.Equal(len(res.started), 0)
	is.Equal(res.longestHeld, time.Duration(0))
	is.True(res.refused > 500)
}

// Guards against calls that wait for a timer of the old rate after the limit has
// ended, and against calls that none wakes when the limit lets them start.
func TestGateStartsCallsAtTheRateLimit(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Slots: 50, RateLimited: true, RateLimit: 50})
	far := time.Now().Add(time.Minute)
	ended := make(chan *Refusal, 20)
	acquire := func(n int) {
		for range n {
			go func() {
				_, r := g.Acquire(t.Context(), Call{}, far, time.Time{})
				ended <- r
			}()
		}
	}
	for range 3 {
		acquire(2) // as many as may wait without a known service time
		for range 2 {
			is.Equal(<-ended, nil)
		}
	}
	g.SetLimits(Limits{Slots: 50, RateLimited: true, RateLimit: 0.02})
	before := g.State().Running
	g.mu.Lock()
	queued := &Waiter{Call: Call{Deadline: time.Hour}, ready: make(chan bool, 1)}
	d, _ := g.core.Arrive(g.now(), queued)
	g.dispatch()
	g.mu.Unlock()
	is.Equal(d, Queued)
	is.Equal(g.State().Running, before)
	g.SetLimits(Limits{Slots: 50})
	is.True(<-queued.ready)
}

// The load of a limited service that gets long calls of callers and short ones of
// other upstreams, at one rank. Guards against starts that go to the short calls
// because the rules of a rank share the service time, of which there is plenty.
func TestRulesShareStartsUnderRateLimit(t *testing.T) {
	is := is.New(t)
	c := NewCore(Limits{Slots: 13, RateLimited: true, RateLimit: 50})
	service := map[string]time.Duration{"long": 80 * time.Millisecond, "short": 15 * time.Millisecond}
	starts := map[string]int{}
	ends := map[time.Duration][]*Waiter{}
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for _, w := range ends[now] {
			c.Done(now, w, Completed)
		}
		start := func(w *Waiter) {
			starts[w.Rule]++
			at := now + service[w.Rule]
			ends[at] = append(ends[at], w)
		}
		for _, rule := range []string{"long", "short"} {
			w := &Waiter{Call: Call{Rule: rule, Weight: 1, Deadline: now + time.Second}}
			if d, _ := c.Arrive(now, w); d == Admitted {
				start(w)
			}
		}
		for w, admitted := c.Next(now); w != nil; w, admitted = c.Next(now) {
			if admitted {
				start(w)
			}
		}
	}
	share := float64(starts["long"]) / float64(starts["long"]+starts["short"])
	t.Logf("starts: %v, share of the long calls %.2f", starts, share)
	is.True(share > 0.45 && share < 0.55)
}

// Guards against calls that were queued before the upstream stated a low rate
// limit, and are held until their deadlines although they cannot start by then.
func TestLowerRateLimitRefusesExcessAtOnce(t *testing.T) {
	is := is.New(t)
	limits := Limits{Slots: 2}
	limits.Floors[3] = 10
	g := NewGate(limits)
	far := time.Now().Add(time.Minute)
	var slots []Slot
	for range 2 {
		s, r := g.Acquire(t.Context(), Call{}, far, time.Time{})
		is.Equal(r, nil)
		slots = append(slots, s)
	}
	ended := make(chan *Refusal, 6)
	for i := range 6 {
		go func() {
			_, r := g.Acquire(t.Context(), Call{Rank: model.Rank(3 * (i % 2))}, far, time.Time{})
			ended <- r
		}()
	}
	for g.State().Waiting < 6 {
		time.Sleep(time.Millisecond)
	}
	limits.RateLimited, limits.RateLimit = true, 0.02
	g.SetLimits(limits)
	fit := g.core.QueueLimit(g.now())
	is.Equal(g.State().Waiting, fit)
	for range 6 - fit {
		is.Equal((<-ended).Reason, model.Overloaded)
	}
	is.True(g.State().WaitingByRank[3] >= 1) // the place that its floor protects
	g.EndRateLimit()
	for _, s := range slots {
		s.Release(Other)
		is.Equal(<-ended, nil)
	}
}

// Guards against calls that wait for a start under a limit that permits none
// before their deadlines.
func TestUnservableCallsLeaveTheQueueOfALowerRateLimit(t *testing.T) {
	is := is.New(t)
	limits := Limits{Slots: 1}
	limits.Floors[0] = 10
	g := NewGate(limits)
	_, r := g.Acquire(t.Context(), Call{}, time.Now().Add(time.Minute), time.Time{})
	is.Equal(r, nil)
	ended := make(chan *Refusal)
	go func() {
		_, r := g.Acquire(t.Context(), Call{}, time.Now().Add(20*time.Second), time.Time{})
		ended <- r
	}()
	for g.State().Waiting < 1 {
		time.Sleep(time.Millisecond)
	}
	limits.RateLimited, limits.RateLimit = true, 0.02 // one start in 50 s
	g.SetLimits(limits)
	is.Equal((<-ended).Reason, model.Overloaded)
	is.Equal(g.State().Waiting, 0)
}
