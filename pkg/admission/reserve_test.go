package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: all slots are busy with calls of callers, and running calls elsewhere make calls
// here. Guards against inner calls that wait although a slot is kept free for them, and
// against a slot that stays free when there are hardly any.
func TestSlotIsKeptFreeForInnerCalls(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	c := NewCore(Limits{Slots: 4, ReserveForInner: true})
	arrive := func(now time.Duration, inner bool) (*Waiter, Decision) {
		w := &Waiter{Call: Call{Rule: "caller", Rank: 1, Weight: 1, Deadline: time.Hour}}
		if inner {
			w.Rule, w.Rank, w.Inner = "inner", 0, true
		}
		d, _ := c.Arrive(now, w)
		return w, d
	}
	now := time.Duration(0)
	for range 100 { // 10 inner calls of 200 ms per second: together they would wait half of the time
		now += 100 * ms
		w, d := arrive(now, true)
		is.Equal(d, Admitted)
		c.Done(now+200*ms, w, Completed)
	}
	var running []*Waiter
	for range 3 {
		w, d := arrive(now, false)
		is.Equal(d, Admitted)
		running = append(running, w)
	}
	_, d := arrive(now, false)
	is.Equal(d, Queued)
	w, _ := c.Next(now)
	is.True(w == nil) // the last slot is kept free
	first, d := arrive(now, true)
	is.Equal(d, Admitted) // before the call that waits
	is.True(first.reserved)
	second, d := arrive(now, true)
	is.Equal(d, Queued)
	c.Done(now, running[0], Completed)
	w, ok := c.Next(now)
	is.True(ok && w == second)
	c.Done(now, first, Completed)
	c.Done(now, second, Completed)
	w, ok = c.Next(now)
	is.True(ok && !w.Inner)
	is.True(!w.reserved)

	now += 10 * time.Second // no inner calls for some time
	_, d = arrive(now, false)
	is.Equal(d, Admitted)
	_, d = arrive(now, false)
	is.Equal(d, Queued)
	c.SetLimits(now, Limits{Slots: 3, ReserveForInner: true})
	is.Equal(c.reserved(now), 0) // too few slots
}
