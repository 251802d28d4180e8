package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// simulateTargets runs calls of one route at a multiple of the capacity of 18
// slots, with a latency target of three service times and a deadline of 18. It
// returns the share of calls that complete within their target and the share
// that complete at all. If targets is false, calls run in the order of arrival.
func simulateTargets(load float64, targets bool) (inTime, completed float64) {
	const (
		service  = 340 * time.Millisecond
		target   = 1000 * time.Millisecond
		deadline = 6 * time.Second
		slots    = 18
		length   = 60 * time.Second
	)
	rnd := rand.New(rand.NewPCG(7, 7))
	c := NewCore(Limits{Slots: slots})
	type runningCall struct {
		end, due time.Duration
		w        *Waiter
	}
	var running []runningCall
	calls, within, done := 0.0, 0.0, 0.0
	start := func(now time.Duration, w *Waiter, due time.Duration) {
		running = append(running, runningCall{now + time.Duration((0.7+0.6*rnd.Float64())*float64(service)), due, w})
	}
	dues := make(map[*Waiter]time.Duration)
	next := time.Duration(0)
	rate := load * slots / service.Seconds()
	for next < length {
		now := next
		first := -1
		for i, r := range running {
			if r.end <= now && (first < 0 || r.end < running[first].end) {
				first = i
			}
		}
		if first >= 0 {
			r := running[first]
			now = r.end
			running = slices.Delete(running, first, first+1)
			done++
			if r.end <= r.due {
				within++
			}
			c.Done(now, r.w, Completed)
		} else {
			next += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			calls++
			w := &Waiter{Call: Call{Rule: "r", Weight: 1, Deadline: now + deadline}}
			dues[w] = now + target
			if targets {
				w.Due = now + target
			}
			if v, _ := c.Arrive(now, w); v == Admitted {
				start(now, w, dues[w])
			}
		}
		for w, ok := c.Next(now); w != nil; w, ok = c.Next(now) {
			if ok {
				start(now, w, dues[w])
			}
		}
	}
	return within / calls, done / calls
}

// Load: more calls of one route than the slots can run, for a while. Guards
// against a queue in which every call waits beyond its latency target. Calls that
// have missed it must wait for those that can still meet it, and are dropped for
// them. As many calls complete as without targets.
func TestCallsThatCanMeetTargetGoFirst(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.7, 1.1, 1.3, 1.6, 2.5} {
		inOrder, all := simulateTargets(load, false)
		inTime, served := simulateTargets(load, true)
		t.Logf("load %.1f: within target %.3f of %.3f completed; without targets %.3f of %.3f", load, inTime, served, inOrder, all)
		is.True(served > all-0.02)
		if load < 1 {
			is.True(inTime > 0.97)
			continue
		}
		is.True(inTime > 0.8/load) // nearly all of the calls that the slots can run
		is.True(inTime > inOrder)
	}
}

// Load: a full queue in which some calls have become late. Guards against late calls that
// are held until they are displaced, against the refusal of calls that could be in time,
// and of late calls while there is nothing better to run.
func TestLateCallsAreRefusedWhileOthersCanBeInTime(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	c := NewCore(Limits{Slots: 1, RefuseLate: true})
	call := func(rule string, rank model.Rank, due time.Duration) *Waiter {
		return &Waiter{Call: Call{Rule: rule, Rank: rank, Weight: 1, Due: due, Deadline: 10 * time.Second}}
	}
	first := call("a", 1, 1000*ms)
	d, _ := c.Arrive(0, first)
	is.Equal(d, Admitted)
	c.Done(100*ms, first, Completed) // calls of rule a take 100 ms in rank 1
	running := call("a", 1, 1000*ms)
	d, _ = c.Arrive(100*ms, running)
	is.Equal(d, Admitted)
	late := []*Waiter{call("a", 1, 150*ms), call("a", 1, 160*ms), call("a", 1, 170*ms)}
	urgentLate := call("a", 0, 90*ms)
	for _, w := range append(late, urgentLate) {
		d, _ = c.Arrive(100*ms, w)
		is.Equal(d, Queued)
		is.True(c.RemoveLate(100*ms) == nil) // no call can be in time
	}
	inTime := call("a", 1, 1000*ms)
	d, _ = c.Arrive(100*ms, inTime)
	is.Equal(d, Queued)
	is.Equal(c.RemoveLate(100*ms), late[0])
	is.Equal(c.RemoveLate(100*ms), late[1])
	is.True(c.RemoveLate(100*ms) == nil) // one of the rank may wait, and the more urgent one
	c.Done(200*ms, running, Completed)
	w, _ := c.Next(200 * ms)
	is.Equal(w, urgentLate)
	c.SetLimits(200*ms, Limits{Slots: 1})
	d, _ = c.Arrive(200*ms, call("a", 1, 210*ms))
	is.Equal(d, Queued)
	is.True(c.RemoveLate(200*ms) == nil) // switched off
}
