package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// event is an arrival (call set) or the end of a running call (done set).
type event struct {
	at         time.Duration
	call, done *Waiter
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fcfs is the policy to compare with: the same slots and the same queue
// length, first come first served, expired calls skipped.
type fcfs struct {
	slots, queueLimit, running int
	queue                      []*Waiter
}

// policy is what the simulation drives.
type policy interface {
	arrive(now time.Duration, w *Waiter, start func(*Waiter))
	done(now time.Duration, w *Waiter, start func(*Waiter))
}

func (f *fcfs) arrive(_ time.Duration, w *Waiter, start func(*Waiter)) {
	switch {
	case f.running < f.slots:
		f.running++
		start(w)
	case len(f.queue) < f.queueLimit:
		f.queue = append(f.queue, w)
	}
}

func (f *fcfs) done(now time.Duration, _ *Waiter, start func(*Waiter)) {
	f.running--
	for len(f.queue) > 0 && f.running < f.slots {
		w := f.queue[0]
		f.queue = f.queue[1:]
		if w.Deadline > now {
			f.running++
			start(w)
		}
	}
}

type byRank struct{ c *Core }

func (p byRank) arrive(now time.Duration, w *Waiter, start func(*Waiter)) {
	if v, _ := p.c.Arrive(now, w); v == Admitted {
		start(w)
	}
	p.pump(now, start)
}

func (p byRank) done(now time.Duration, w *Waiter, start func(*Waiter)) {
	p.c.Done(now, w, Answered)
	p.pump(now, start)
}

func (p byRank) pump(now time.Duration, start func(*Waiter)) {
	for w, ok := p.c.Next(now); w != nil; w, ok = p.c.Next(now) {
		if ok {
			start(w)
		}
	}
}

// offer is the load of one rank.
type offer struct {
	rank     int
	rate     float64 // calls a second
	deadline time.Duration
}

// simulate returns the share of calls by rank that finish by their deadline.
func simulate(p policy, offers []offer, length time.Duration) [Ranks]float64 {
	rnd := rand.New(rand.NewPCG(20, 20))
	const service = 10 * time.Millisecond
	var q events
	var offered, good [Ranks]float64
	for _, o := range offers {
		for at := time.Duration(0); at < length; {
			at += time.Duration(rnd.ExpFloat64() / o.rate * float64(time.Second))
			w := &Waiter{Call: Call{Rule: "r", Worth: 1, Deadline: at + o.deadline}}
			w.Rank = model.Rank(o.rank)
			offered[o.rank]++
			heap.Push(&q, event{at: at, call: w})
		}
	}
	for len(q) > 0 {
		e := heap.Pop(&q).(event)
		start := func(w *Waiter) {
			end := e.at + time.Duration((0.5+rnd.Float64())*float64(service))
			if end <= w.Deadline {
				good[w.Rank]++
			}
			heap.Push(&q, event{at: end, done: w})
		}
		if e.call != nil {
			p.arrive(e.at, e.call, start)
		} else {
			p.done(e.at, e.done, start)
		}
	}
	for r := range good {
		if offered[r] > 0 {
			good[r] /= offered[r]
		}
	}
	return good
}

// BenchmarkFlood reports the share of calls served in time by rank when the
// least or the most urgent rank floods an upstream of 15 slots (1,500 calls a
// second), in virtual time, by rank against first come first served.
func BenchmarkFlood(b *testing.B) {
	floods := map[string][]offer{
		"low":  {{0, 400, 100 * time.Millisecond}, {2, 400, 400 * time.Millisecond}, {6, 6000, time.Second}},
		"high": {{0, 6000, 100 * time.Millisecond}, {2, 400, 400 * time.Millisecond}, {6, 400, time.Second}},
	}
	limits := Limits{Slots: 15, Floors: [Ranks]int{0: 40, 2: 20, 6: 10}}
	for name, offers := range floods {
		for _, kind := range []string{"rank", "fcfs"} {
			b.Run(fmt.Sprintf("%s/%s", name, kind), func(b *testing.B) {
				var share [Ranks]float64
				for b.Loop() {
					var p policy = byRank{NewCore(limits)}
					if kind == "fcfs" {
						p = &fcfs{slots: limits.Slots, queueLimit: NewCore(limits).QueueLimit()}
					}
					share = simulate(p, offers, 20*time.Second)
				}
				for _, o := range offers {
					b.ReportMetric(100*share[o.rank], fmt.Sprintf("rank%d-%%", o.rank))
				}
			})
		}
	}
}
