package admission

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Ranks is the number of ranks.
const Ranks = int(model.MaxRank) + 1

const (
	// queuePerSlot and queueExtra bound the waiting calls: with 15 slots 38
	// calls wait, which an upstream drains in about three service times. The
	// extra part leaves every rank with a floor at least one protected place.
	queuePerSlot = 2
	queueExtra   = Ranks
)

// Limits is the capacity of the upstream as the rules file states it.
type Limits struct {
	Slots  int
	Floors [Ranks]int // percent of the slots, by rank
}

// Call is what admission needs to know about a call.
type Call struct {
	Rank     model.Rank
	Rule     string
	Weight   int           // weight among the rules of one rank, at least 1
	Deadline time.Duration // on the clock of the now arguments
	// Due is when the answer misses its latency target, on the same clock; 0 if
	// there is no target.
	Due time.Duration
	// Patience is the longest expected wait at which the call is queued; a
	// call that would wait longer is refused as Full, because another upstream
	// may take it sooner. 0 means any wait.
	MaxQueueTime time.Duration
}

// Verdict is the decision on an arriving call.
type Decision uint8

// Verdicts on arriving calls.
const (
	Admitted            Decision = iota
	Queued                       // waits until Next returns it or Remove takes it out
	Overloaded                   // refused: the queue is full of calls that go first
	DeadlineUnreachable          // refused: cannot finish before its deadline
)

// Core holds the slots and queues of one upstream. It is not safe for
// concurrent use. After each call of Arrive, Done or SetLimits the user calls
// Next until it returns nil.
type Core struct {
	limits       Limits
	serviceTimes serviceTimes
	ranks        [Ranks]rankQueue
	running      int
	waiting      int
}

// NewCore returns an idle Core.
func NewCore(l Limits) *Core {
	c := &Core{}
	c.SetLimits(l)
	return c
}

// SetLimits changes the capacity; calls in flight and waiting calls stay.
func (c *Core) SetLimits(l Limits) {
	l.Slots = max(l.Slots, 1)
	c.limits = l
}

// Limit returns the calls that may run now: all slots that the upstream
// states. It alone knows them, and a limit below them leaves slots idle while
// calls wait (docs/decisions/admission.md).
func (c *Core) Limit() int { return c.limits.Slots }

// QueueLimit returns the calls that may wait.
func (c *Core) QueueLimit() int { return queuePerSlot*c.limits.Slots + queueExtra }

// Arrive decides on a new call. When a queued call had to make room, it is
// returned as dropped; it counts as Full.
func (c *Core) Arrive(now time.Duration, w *Waiter) (v Decision, dropped *Waiter) {
	w.Rank = min(w.Rank, model.MaxRank)
	free := c.running < c.Limit() && c.waiting == 0
	if c.cannotFinish(now, w, free) {
		return DeadlineUnreachable, nil
	}
	if free {
		c.start(now, w)
		return Admitted, nil
	}
	if w.MaxQueueTime > 0 && c.expectedQueueTime(now, &w.Call) > w.MaxQueueTime {
		return Overloaded, nil
	}
	if c.waiting >= c.QueueLimit() {
		if dropped = c.lateEvictionCandidate(now, w); dropped == nil {
			dropped = c.evictionCandidate(w)
		}
		if dropped == nil {
			return Overloaded, nil
		}
		c.Remove(dropped)
	}
	c.ranks[w.Rank].push(w)
	c.waiting++
	return Queued, dropped
}

// unreachable estimates whether the call cannot finish in time. An idle
// upstream always gets the call, so that the estimate is measured again.
func (c *Core) cannotFinish(now time.Duration, w *Waiter, free bool) bool {
	left := w.Deadline - now
	if left <= 0 {
		return true
	}
	if c.running == 0 {
		return false
	}
	need := c.requiredTime(now, &w.Call)
	if !free {
		need += c.expectedQueueTime(now, &w.Call)
	}
	return need > left
}

// usual is the time that a call needs at least in most cases: by its rule, or
// by its rank if the rule was not measured.
func (c *Core) requiredTime(now time.Duration, w *Call) time.Duration {
	service := c.serviceTimes.byRank[w.Rank].get(now)
	if f, ok := c.ranks[w.Rank].flows[w.Rule]; ok && f.serviceTime.value > 0 {
		service = f.serviceTime.get(now)
	}
	return time.Duration(requiredShare * float64(service))
}

// expectedWait is the time until a call that arrives now gets a slot: behind
// the calls of more urgent ranks and those of its own rank that go before it,
// or by the floor of its rank.
func (c *Core) expectedQueueTime(now time.Duration, w *Call) time.Duration {
	r := min(w.Rank, model.MaxRank)
	mean := c.serviceTimes.mean(now)
	ahead := c.ranks[r].workAhead(now, w, mean)
	work := float64(mean) + ahead // a slot gets free after a part of a run
	for q := range r {
		work += c.ranks[q].totalWork(mean)
	}
	slots := c.Limit()
	for q := int(r) + 1; q < Ranks; q++ {
		if c.ranks[q].waiting > 0 {
			slots -= c.floorSlots(model.Rank(q)) // taken by the floors of less urgent ranks
		}
	}
	wait := work / float64(max(slots, 1))
	if f := c.floorSlots(r); f > 0 {
		wait = min(wait, (float64(mean)+ahead)/float64(f))
	}
	return time.Duration(wait)
}

// floorSlots is the floor of r in whole slots of the current limit, rounded up.
func (c *Core) floorSlots(r model.Rank) int {
	return (c.limits.Floors[r]*c.Limit() + 99) / 100
}

// belowFloor reports whether r runs fewer calls than its floor.
func (c *Core) belowFloor(r model.Rank) bool { return c.ranks[r].running < c.floorSlots(r) }

// victim returns the waiting call that makes room for w: the newest one of the
// least urgent rank, never a call within the floor of its rank. A call within
// the floor of its own rank may displace any other, and in its own rank one of
// a rule with more waiting calls.
func (c *Core) evictionCandidate(w *Waiter) *Waiter {
	r := int(w.Rank)
	protected := c.ranks[r].waiting < c.floorSlots(w.Rank)
	for q := Ranks - 1; q >= 0; q-- {
		if c.ranks[q].waiting <= c.floorSlots(model.Rank(q)) {
			continue
		}
		longest := c.ranks[q].longestFlow()
		switch {
		case q > r, q < r && protected:
			return longest.tail
		case q == r && longest.waiting > c.ranks[r].waitingOf(w.Rule)+1:
			return longest.tail
		}
	}
	return nil
}

// lateVictim returns the oldest waiting call, of the rank of w or of a less
// urgent one, that has missed its latency target while w can meet its own.
func (c *Core) lateEvictionCandidate(now time.Duration, w *Waiter) *Waiter {
	if w.Due == 0 || now+c.requiredTime(now, &w.Call) > w.Due {
		return nil
	}
	for q := Ranks - 1; q >= int(w.Rank); q-- {
		if late := c.ranks[q].firstLate(now); late != nil {
			return late
		}
	}
	return nil
}

// Next takes the waiting call that gets a free slot, or one that can no longer
// finish before its deadline; the latter has admitted=false. It returns nil when there is neither.
func (c *Core) Next(now time.Duration) (w *Waiter, admitted bool) {
	if c.waiting == 0 || c.running >= c.Limit() {
		return nil, false
	}
	r := c.nextRank()
	w = c.ranks[r].pop(now, c.serviceTimes.mean(now))
	c.waiting--
	if w.Deadline <= now+c.requiredTime(now, &w.Call) {
		return w, false // it would take a slot and not finish in time
	}
	c.start(now, w)
	return w, true
}

// nextRank returns the most urgent waiting rank below its floor, or else the
// most urgent waiting rank. Unused floors are lent out this way.
func (c *Core) nextRank() model.Rank {
	first := -1
	for r := range c.ranks {
		if c.ranks[r].waiting == 0 {
			continue
		}
		if c.belowFloor(model.Rank(r)) {
			return model.Rank(r)
		}
		if first < 0 {
			first = r
		}
	}
	return model.Rank(first)
}

func (c *Core) start(now time.Duration, w *Waiter) {
	c.running++
	c.ranks[w.Rank].running++
	w.started = now
}

// Expire takes out one waiting call whose deadline has passed, or returns nil.
func (c *Core) Expire(now time.Duration) *Waiter {
	for r := range c.ranks {
		if w := c.ranks[r].expired(now); w != nil {
			c.Remove(w)
			return w
		}
	}
	return nil
}

// Remove takes a waiting call out of its queue.
func (c *Core) Remove(w *Waiter) {
	c.ranks[w.Rank].remove(w)
	c.waiting--
}

// End is how an admitted call ended.
type Outcome uint8

// Ends of admitted calls.
const (
	Completed Outcome = iota
	Shed              // the upstream refused or lost the call: it has too much work
	TimedOut          // given up at its deadline, so the upstream takes at least as long
	Other             // cancelled, or no measure of the upstream
)

// Done frees the slot of an admitted call.
func (c *Core) Done(now time.Duration, w *Waiter, e Outcome) {
	c.running--
	c.ranks[w.Rank].running--
	took := now - w.started
	if e == Completed || e == TimedOut && took > c.serviceTimes.mean(now) {
		c.serviceTimes.add(now, w.Rank, took)
		c.ranks[w.Rank].flow(w.Rule).serviceTime.add(now, float64(took))
	}
}

// DrainTime is the time until a call that is refused now could be admitted,
// from the rate at which slots become free.
func (c *Core) ExpectedQueueTime(now time.Duration, w *Call) time.Duration {
	return c.expectedQueueTime(now, w)
}

// State is a copy of the numbers of a Core.
type State struct {
	Slots, Limit, Running, Waiting int
	RunningByRank, WaitingByRank   [Ranks]int
	ServiceTime                    time.Duration // mean of recent calls
}

// State returns the current numbers.
func (c *Core) State(now time.Duration) State {
	s := State{Slots: c.limits.Slots, Limit: c.Limit(), Running: c.running, Waiting: c.waiting, ServiceTime: c.serviceTimes.mean(now)}
	for r := range c.ranks {
		s.RunningByRank[r], s.WaitingByRank[r] = c.ranks[r].running, c.ranks[r].waiting
	}
	return s
}
