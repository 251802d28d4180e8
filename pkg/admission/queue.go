package admission

import (
	"slices"
	"time"
)

// targetMargin times the mean service time must be left for a call to count as
// one that can meet its latency target. With 0.9, half of the calls that started
// with hardly more time than that missed it.
const targetMargin = 1.3

// maxFlows bounds the flows that one rank keeps. At the bound, a new flow drops all
// idle ones, with their estimates of the service time. Rules come and go with
// versions, so the flows of former rules would otherwise accumulate.
const maxFlows = 64

// Waiter is one call in a Core. It is in at most one queue at a time.
type Waiter struct {
	Call
	started    time.Duration
	late       bool // RemoveLate took it out of its queue
	share      *teamShare
	overtook   bool // it started before an older call of a team that had received more of its share
	flow       *flow
	prev, next *Waiter
	ready      chan bool // used by Gate only; true if the call is admitted
}

// flow holds the waiting calls of one rule in the order of their arrival.
type flow struct {
	head, tail  *Waiter
	waiting     int
	weight      int     // weight that the newest call of the rule stated
	virtualTime float64 // nanoseconds of service time, divided by the weight of the rule
	serviceTime average
	teams       teamShares
}

// rankQueue shares the service time of one rank among its rules in proportion to
// their weights (start-time fair queuing; Goyal, Vin and Cheng, 1996). It shares
// service time instead of a number of calls, so that a short call of one
// upstream to another does not wait behind the long calls of callers. The short
// call costs them little.
type rankQueue struct {
	flows       map[string]*flow
	active      []*flow // those with waiting calls, in the order in which the first of them arrived
	virtualTime float64 // of the flow whose call was taken last
	waiting     int
	running     int
	floorCredit int // percent of a start that the floor owes the rank, under a rate limit
}

func (q *rankQueue) push(w *Waiter) {
	f := q.flow(w.Rule)
	if f.head == nil { // an idle flow accumulates no share
		f.virtualTime = max(f.virtualTime, q.virtualTime)
		f.head = w
		q.active = append(q.active, f)
	} else {
		f.tail.next, w.prev = w, f.tail
	}
	f.tail, w.flow = w, f
	f.teams.push(w)
	f.waiting++
	f.weight = max(w.Weight, 1)
	q.waiting++
}

func (q *rankQueue) flow(rule string) *flow {
	if f, ok := q.flows[rule]; ok {
		return f
	}
	if q.flows == nil || len(q.flows) >= maxFlows {
		q.dropIdleFlows()
	}
	f := &flow{}
	q.flows[rule] = f
	return f
}

func (q *rankQueue) dropIdleFlows() {
	kept := make(map[string]*flow)
	for rule, f := range q.flows {
		if f.head != nil {
			kept[rule] = f
		}
	}
	q.flows = kept
}

// pop takes a call of the flow that has received the least of its share. If
// the load exceeds the slots, every call in a plain queue would miss its target.
// Calls that have missed it therefore wait for the others. defaultTime is the
// service time of a flow without samples. With byStarts every call costs the
// same: under a rate limit a start is what is scarce, not the time in a slot.
func (q *rankQueue) pop(now, defaultTime time.Duration, byStarts bool) *Waiter {
	var best *flow
	for _, f := range q.active {
		if best == nil || f.virtualTime < best.virtualTime ||
			f.virtualTime == best.virtualTime && f.head.Rule < best.head.Rule {
			best = f
		}
	}
	w := best.first(now)
	best.teams.charge(w.share)
	q.virtualTime = best.virtualTime
	cost := best.cost(defaultTime)
	if byStarts {
		cost = float64(max(defaultTime, time.Millisecond))
	}
	best.virtualTime += cost / float64(best.weight)
	q.remove(w)
	return w
}

// meetsTarget reports whether a call that starts now meets its latency target in
// most cases.
func (f *flow) meetsTarget(w *Waiter, now time.Duration) bool {
	return w.Due == 0 || now+time.Duration(targetMargin*f.serviceTime.value) <= w.Due
}

// firstLate returns the oldest waiting call of one rule that can no longer meet
// its latency target, or nil if there is none. If several rules have such calls, it
// is one of the rule that has had waiting calls for the longest time.
func (q *rankQueue) firstLate(now time.Duration) *Waiter {
	for _, f := range q.active {
		for w := f.head; w != nil; w = w.next {
			if !f.meetsTarget(w, now) {
				return w
			}
		}
	}
	return nil
}

// maxLate is the number of late calls that may wait beside calls that can meet their
// target. Without a limit, they wait until their deadline or until they are displaced,
// and are refused when their callers have no time left; with 1, 2, 3 and 6, simulations
// serve about the same calls.
const maxLate = 1

// RemoveLate takes a waiting call out of its queue that can no longer meet its latency
// target, if more than maxLate such calls wait beside a call that can and is at least as
// urgent. It returns nil if there is none. It must be called after Arrive has queued a
// call, until it returns nil.
func (c *Core) RemoveLate(now time.Duration) *Waiter {
	if !c.limits.RefuseLate {
		return nil
	}
	var first *Waiter // in the least urgent rank
	total, inTime := 0, false
	for r := range c.ranks {
		late, n, anyInTime := c.ranks[r].late(now)
		if inTime = inTime || anyInTime; inTime && late != nil {
			first, total = late, total+n
		}
	}
	if total <= maxLate {
		return nil
	}
	c.Remove(first)
	first.late = true
	return first
}

// late returns the first waiting call of the rank that can no longer meet its latency
// target, the number of such calls, and whether other calls can.
func (q *rankQueue) late(now time.Duration) (first *Waiter, n int, anyInTime bool) {
	for _, f := range q.active {
		for w := f.head; w != nil; w = w.next {
			if f.meetsTarget(w, now) {
				anyInTime = true
				continue
			}
			if n++; first == nil {
				first = w
			}
		}
	}
	return first, n, anyInTime
}

// cost is the expected service time of one call, in nanoseconds. It does not
// decay: a flow that was idle keeps its last estimate. A flow without samples
// has defaultTime, but at least 1 ms.
func (f *flow) cost(defaultTime time.Duration) float64 {
	if f.serviceTime.value > 0 {
		return f.serviceTime.value
	}
	return float64(max(defaultTime, time.Millisecond))
}

// longestFlow returns the flow with the most waiting calls, nil if no call waits.
func (q *rankQueue) longestFlow() *flow {
	var longest *flow
	for _, f := range q.active {
		if longest == nil || f.waiting > longest.waiting ||
			f.waiting == longest.waiting && f.head.Rule < longest.head.Rule {
			longest = f
		}
	}
	return longest
}

// waitingOf returns the number of waiting calls of one rule.
func (q *rankQueue) waitingOf(rule string) int {
	if f, ok := q.flows[rule]; ok {
		return f.waiting
	}
	return 0
}

// workAhead is the expected service time, in nanoseconds, of the calls of this
// rank that start before a new call w: the calls of the same flow that go before
// it, and of every other flow as much as its weight entitles it to meanwhile.
func (q *rankQueue) workAhead(now time.Duration, w *Call, defaultTime time.Duration) float64 {
	ownFlow, weight := 0.0, float64(max(w.Weight, 1))
	if f, ok := q.flows[w.Rule]; ok {
		ownFlow = f.callsAhead(now, w) * f.cost(defaultTime)
	}
	sum := ownFlow
	for _, f := range q.active {
		if f.head.Rule == w.Rule {
			continue
		}
		cost := f.cost(defaultTime)
		sum += min(float64(f.waiting)*cost, ownFlow*float64(f.weight)/weight+cost)
	}
	return sum
}

// callsAhead is the expected number of calls of this rank that start before a new
// call w: the calls of the same flow that go before it, and of every other flow
// as many as its weight entitles it to meanwhile.
func (q *rankQueue) callsAhead(now time.Duration, w *Call) float64 {
	own, weight := 0.0, float64(max(w.Weight, 1))
	if f, ok := q.flows[w.Rule]; ok {
		own = f.callsAhead(now, w)
	}
	sum := own
	for _, f := range q.active {
		if f.head.Rule != w.Rule {
			sum += min(float64(f.waiting), own*float64(f.weight)/weight+1)
		}
	}
	return sum
}

// totalWork is the expected service time of all waiting calls of this rank, in
// nanoseconds.
func (q *rankQueue) totalWork(defaultTime time.Duration) float64 {
	sum := 0.0
	for _, f := range q.active {
		sum += float64(f.waiting) * f.cost(defaultTime)
	}
	return sum
}

func (q *rankQueue) expired(now time.Duration) *Waiter {
	for _, f := range q.active {
		for w := f.head; w != nil; w = w.next {
			if w.Deadline <= now {
				return w
			}
		}
	}
	return nil
}

func (q *rankQueue) remove(w *Waiter) {
	f := w.flow
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		f.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		f.tail = w.prev
	}
	w.share.waiting--
	w.prev, w.next, w.flow, w.share = nil, nil, nil, nil
	f.waiting--
	q.waiting--
	if f.head == nil {
		i := slices.Index(q.active, f)
		q.active = slices.Delete(q.active, i, i+1)
	}
}
