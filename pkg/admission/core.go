package admission

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Ranks is the number of ranks, from 0, the most urgent, to model.MaxRank.
const Ranks = int(model.MaxRank) + 1

const (
	// queuePerSlot and queueExtra bound the length of the queue. With 15 slots,
	// 38 calls may wait, which an upstream runs in about three service times.
	// queueExtra gives every rank with a floor at least one protected place.
	queuePerSlot = 2
	queueExtra   = Ranks
)

// Limits is the capacity of the upstream. The upstream states its slots and the
// rules file the floors.
type Limits struct {
	Slots  int        // calls that the upstream runs at a time
	Floors [Ranks]int // percent of the slots, or of the rate limit, by rank
	// RateLimited says that at most RateLimit calls per second may start. 0 is
	// a valid limit.
	RateLimited bool
	RateLimit   float64
	// RefuseLate refuses waiting calls that can no longer meet their latency target,
	// except maxLate of them, while calls wait that can.
	RefuseLate bool
}

// Call holds the properties of a call on which admission depends.
type Call struct {
	Rank   model.Rank // above model.MaxRank it counts as model.MaxRank
	Rule   string     // name of the rule; calls of one rule share a queue
	Weight int        // weight among the rules of one rank, at least 1
	Team   string     // name of the team, "" if it has none; the teams of a rule share its starts
	// TeamWeight is the weight of the team among the teams of a rule, 0 stands for 1.
	TeamWeight float64
	Deadline   time.Duration // time of the deadline, on the clock of the Core
	// Due is the time at which the response misses its latency target, on the
	// same clock; 0 if there is no target.
	Due time.Duration
	// MaxQueueTime is the longest expected queue time with which the call is
	// queued. A call that would wait longer is refused as Overloaded, because
	// another upstream may run it sooner. 0 means no bound.
	MaxQueueTime time.Duration
}

// Decision is the decision on an arriving call.
type Decision uint8

// Decisions on arriving calls.
const (
	Admitted            Decision = iota
	Queued                       // waits until Next, Expire or Remove takes it out of the queue, or Arrive drops it
	Overloaded                   // refused: the queue is full of calls that go first, or MaxQueueTime would be exceeded
	DeadlineUnreachable          // refused: cannot finish before its deadline
)

// Core holds the slots and queues of one upstream. It is not safe for
// concurrent use. After Arrive, Done or SetLimits, Next must be called until it
// returns nil. The now arguments are times on one monotonic clock, the clock of
// the Core.
type Core struct {
	limits       Limits
	rate         rateLimiter
	serviceTimes serviceTimes
	ranks        [Ranks]rankQueue
	running      int
	waiting      int
}

// NewCore returns an idle Core.
func NewCore(l Limits) *Core {
	c := &Core{}
	c.SetLimits(0, l)
	return c
}

// SetLimits changes the capacity. Running and waiting calls are not affected.
// Fewer than one slot counts as one.
func (c *Core) SetLimits(now time.Duration, l Limits) {
	l.Slots = max(l.Slots, 1)
	c.limits = l
	c.rate.set(now, l.RateLimited, l.RateLimit)
}

// Limit returns how many calls may run now: all slots that the upstream states.
// Only the upstream knows its slots, and a lower limit would leave slots idle
// while calls wait (docs/decisions/admission.md).
func (c *Core) Limit() int { return c.limits.Slots }

// QueueLimit returns how many calls may wait. Under a rate limit that leaves
// slots idle, only the slots in use count: rate times service time (Little's
// law). With more waiting calls, most would miss their latency target or wait
// until they are displaced.
func (c *Core) QueueLimit(now time.Duration) int {
	full := queuePerSlot*c.limits.Slots + queueExtra
	if !c.rate.limited {
		return full
	}
	busy := int(math.Ceil(min(c.rate.rate*c.serviceTimes.mean(now).Seconds(), float64(c.limits.Slots))))
	limit := queuePerSlot * max(busy, 1)
	for _, floor := range c.limits.Floors {
		if floor > 0 {
			limit++ // a protected place
		}
	}
	return min(limit, full)
}

// Arrive decides on a new call. If a queued call is dropped to make room, it is
// returned as dropped and counts as refused with Overloaded.
func (c *Core) Arrive(now time.Duration, w *Waiter) (d Decision, dropped *Waiter) {
	w.Rank = min(w.Rank, model.MaxRank)
	free := c.waiting == 0 && c.mayStart(now)
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
	if c.waiting >= c.QueueLimit(now) {
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

// mayStart reports whether a call may start now: a slot is free, and the rate
// limit permits it.
func (c *Core) mayStart(now time.Duration) bool { return c.running < c.Limit() && c.rate.ready(now) }

// cannotFinish estimates whether the call cannot finish before its deadline. An
// idle upstream gets every call whose deadline has not passed, so that the
// estimate is updated.
func (c *Core) cannotFinish(now time.Duration, w *Waiter, free bool) bool {
	left := w.Deadline - now
	if left <= 0 {
		return true
	}
	if c.running == 0 && free {
		return false
	}
	need := c.requiredTime(now, &w.Call)
	if !free {
		need += c.expectedQueueTime(now, &w.Call)
	}
	return need > left
}

// requiredTime is a service time that most calls like w exceed: requiredShare of
// the mean of the rule, or of the mean of the rank if the rule has no samples.
func (c *Core) requiredTime(now time.Duration, w *Call) time.Duration {
	service := c.serviceTimes.byRank[w.Rank].get(now)
	if f, ok := c.ranks[w.Rank].flows[w.Rule]; ok && f.serviceTime.value > 0 {
		service = f.serviceTime.get(now)
	}
	return time.Duration(requiredShare * float64(service))
}

// expectedQueueTime is the time until a call that arrives now gets a slot. It
// waits for the calls of more urgent ranks and for those of its own rank that go
// before it. If the floor of its rank gives it a slot sooner, that time counts.
func (c *Core) expectedQueueTime(now time.Duration, w *Call) time.Duration {
	r := min(w.Rank, model.MaxRank)
	mean := c.serviceTimes.mean(now)
	ahead := c.ranks[r].workAhead(now, w, mean)
	work := float64(mean) + ahead // a slot becomes free after a part of a service time
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
	return max(time.Duration(wait), c.rateWait(now, w))
}

// floorSlots is the floor of r in whole slots of the current limit, rounded up.
func (c *Core) floorSlots(r model.Rank) int {
	return (c.limits.Floors[r]*c.Limit() + 99) / 100
}

// belowFloor reports whether r runs fewer calls than its floor. Under a rate
// limit, few calls run at a time, and the floor is a share of the starts.
func (c *Core) belowFloor(r model.Rank) bool {
	if c.rate.limited {
		return c.ranks[r].floorCredit >= oneStart
	}
	return c.ranks[r].running < c.floorSlots(r)
}

// evictionCandidate returns the waiting call that is dropped to make room for w,
// or nil. It is the newest call of the team that exceeds its share most, of the rule
// with the most waiting calls, in the least urgent rank in which w may displace a call. Ranks with no more waiting
// calls than floor slots are left out. Of the other ranks, w may displace a call
//   - of a less urgent rank,
//   - of a more urgent rank, if w is within the floor of its own rank,
//   - of its own rank, if the other rule then still has at least as many waiting
//     calls as the rule of w, or of its own rule, if that holds for the teams.
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
			return longest.last()
		case q == r && longest.waiting > c.ranks[r].waitingOf(w.Rule)+1:
			return longest.last()
		case q == r && longest.head.Rule == w.Rule:
			return longest.lastOfOtherTeam(&w.Call)
		}
	}
	return nil
}

// lateEvictionCandidate returns a waiting call that can no longer meet its latency
// target, if w can still meet its own. It searches from the least urgent rank up
// to that of w and returns nil if there is no such call. Floors do not protect
// calls that are late.
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

// Next takes the waiting call whose turn it is out of its queue, if a slot is
// free. If admitted is false, the call did not get the slot because it can no
// longer finish before its deadline. Next returns nil if no call waits or no
// slot is free.
func (c *Core) Next(now time.Duration) (w *Waiter, admitted bool) {
	if c.waiting == 0 || !c.mayStart(now) {
		return nil, false
	}
	r := c.nextRank()
	w = c.ranks[r].pop(now, c.serviceTimes.mean(now), c.rate.limited)
	c.waiting--
	if w.Deadline <= now+c.requiredTime(now, &w.Call) {
		return w, false // it would occupy a slot and not finish before its deadline
	}
	c.start(now, w)
	return w, true
}

// nextRank returns the most urgent waiting rank that is below its floor, or else
// the most urgent waiting rank. Other ranks can thus use the slots of an unused
// floor.
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
	if c.rate.limited {
		c.rate.take(now)
		c.creditFloors(w.Rank)
	}
}

// Expire takes one waiting call whose deadline has passed out of its queue and
// returns it, or nil if there is none.
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

// Outcome is how an admitted call ended.
type Outcome uint8

// Outcomes of admitted calls.
const (
	Completed Outcome = iota
	Shed              // the upstream refused or lost the call because it has too much work
	TimedOut          // ended at its deadline, so its service time is at least as long
	Other             // cancelled, or says nothing about the service time
)

// Done frees the slot of an admitted call. It records the service time of a call
// that completed. That of a call that timed out is a lower bound and is recorded
// only above the mean.
func (c *Core) Done(now time.Duration, w *Waiter, outcome Outcome) {
	c.running--
	c.ranks[w.Rank].running--
	took := now - w.started
	if outcome == Completed || outcome == TimedOut && took > c.serviceTimes.mean(now) {
		c.serviceTimes.add(now, w.Rank, took)
		c.ranks[w.Rank].flow(w.Rule).serviceTime.add(now, float64(took))
	}
}

// ExpectedQueueTime returns the time until a call that is refused now could be
// admitted, from the rate at which slots become free.
func (c *Core) ExpectedQueueTime(now time.Duration, w *Call) time.Duration {
	return c.expectedQueueTime(now, w)
}

// State is a copy of the load figures of a Core: numbers of calls, and a time.
// Limit is that of Core.Limit. RateLimit is -1 without a rate limit.
type State struct {
	Slots, Limit, Running, Waiting int
	RunningByRank, WaitingByRank   [Ranks]int
	ServiceTime                    time.Duration // mean service time of recent calls
	RateLimit                      float64       // calls per second that may start
}

// State returns the current load figures.
func (c *Core) State(now time.Duration) State {
	s := State{Slots: c.limits.Slots, Limit: c.Limit(), Running: c.running, Waiting: c.waiting, ServiceTime: c.serviceTimes.mean(now)}
	s.RateLimit = -1
	if c.rate.limited {
		s.RateLimit = c.rate.rate
	}
	for r := range c.ranks {
		s.RunningByRank[r], s.WaitingByRank[r] = c.ranks[r].running, c.ranks[r].waiting
	}
	return s
}
