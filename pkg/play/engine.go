package play

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64 // of events at the same time
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

// clock is the virtual time and what is to happen.
type clock struct {
	now       time.Duration
	queue     events
	scheduled uint64
	rnd       *rand.Rand
}

func newClock(seed uint64) *clock { return &clock{rnd: rand.New(rand.NewPCG(seed, 1))} }

// after lets f happen after a time.
func (c *clock) after(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.scheduled, f})
}

// run lets everything happen.
func (c *clock) run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}

// logNormal draws a value with a mean and a spread of its logarithm.
func (c *clock) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*c.rnd.NormFloat64()-spread*spread/2)
}

// upTo draws a time below a bound.
func (c *clock) uniform(d time.Duration) time.Duration {
	return time.Duration(c.rnd.Float64() * float64(d))
}
