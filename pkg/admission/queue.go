package admission

import "time"

// maxFlows bounds the idle flows of one rank; rules come and go with versions.
const maxFlows = 64

// Waiter is one call in a Core. It belongs to one queue at a time.
type Waiter struct {
	Call
	started    time.Duration
	flow       *flow
	prev, next *Waiter
	ready      chan bool // used by Gate only: true for admitted
}

// flow is the waiting calls of one rule, first come first served.
type flow struct {
	head, tail *Waiter
	served     float64 // calls served, each divided by the worth of the rule
}

// rankQueue shares the slots of one rank among its rules in proportion to
// their worth (stride scheduling, Waldspurger and Weihl, 1995).
type rankQueue struct {
	flows    map[string]*flow
	position float64 // of the flow that was served last
	waiting  int
	running  int
}

func (q *rankQueue) push(w *Waiter) {
	f := q.flow(w.Rule)
	if f.head == nil { // an idle flow saves up no share
		f.served = max(f.served, q.position)
		f.head = w
	} else {
		f.tail.next, w.prev = w, f.tail
	}
	f.tail, w.flow = w, f
	q.waiting++
}

func (q *rankQueue) flow(rule string) *flow {
	if f, ok := q.flows[rule]; ok {
		return f
	}
	if q.flows == nil || len(q.flows) >= maxFlows {
		q.forgetIdle()
	}
	f := &flow{}
	q.flows[rule] = f
	return f
}

func (q *rankQueue) forgetIdle() {
	kept := make(map[string]*flow)
	for rule, f := range q.flows {
		if f.head != nil {
			kept[rule] = f
		}
	}
	q.flows = kept
}

// pop takes the first call of the flow that has had the least of its share.
func (q *rankQueue) pop() *Waiter {
	var best *flow
	for _, f := range q.flows {
		if f.head != nil && (best == nil || f.served < best.served ||
			f.served == best.served && f.head.Rule < best.head.Rule) {
			best = f
		}
	}
	w := best.head
	q.position = best.served
	best.served += 1 / float64(max(w.Worth, 1))
	q.remove(w)
	return w
}

// last returns the newest call of the longest flow.
func (q *rankQueue) last() *Waiter {
	var longest *flow
	most := 0
	for _, f := range q.flows {
		n := 0
		for w := f.head; w != nil; w = w.next {
			n++
		}
		if n > most || n == most && n > 0 && f.head.Rule < longest.head.Rule {
			longest, most = f, n
		}
	}
	return longest.tail
}

func (q *rankQueue) expired(now time.Duration) *Waiter {
	for _, f := range q.flows {
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
	w.prev, w.next, w.flow = nil, nil, nil
	q.waiting--
}
