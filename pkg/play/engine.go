package play

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a point in virtual time.
type event struct {
	at       time.Duration
	sequence uint64 // order of events with the same time
	do       func()
}

type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// clock holds the virtual time, the pending events and the source of random
// numbers.
type clock struct {
	now       time.Duration // since the start of the scenario
	queue     events
	scheduled uint64 // number of events scheduled so far
	rnd       *rand.Rand
}

func newClock(seed uint64) *clock { return &clock{rnd: rand.New(rand.NewPCG(seed, 1))} }

// after schedules f to run after a delay. A negative delay counts as 0.
func (c *clock) after(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.scheduled, f})
}

// run runs the pending events in the order of their times until none is left.
func (c *clock) run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}

// logNormal draws a value of a log-normal distribution. spread is the standard
// deviation of its logarithm.
func (c *clock) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*c.rnd.NormFloat64()-spread*spread/2)
}

// uniform draws a duration of at least 0 and below d.
func (c *clock) uniform(d time.Duration) time.Duration {
	return time.Duration(c.rnd.Float64() * float64(d))
}
