package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// event is the arrival or the end of a call.
type event struct {
	at   time.Duration
	call *Waiter
}

func byTime(a, b event) int { return cmp.Compare(a.at, b.at) }

// rankLoad is the load of one rank.
type rankLoad struct {
	rank     int
	rate     float64 // calls a second
	deadline time.Duration
}

// simulate returns the share of calls by rank that finish by their deadline. If
// ranked is false, all calls have the same rank and run first come, first served.
func simulate(l Limits, loads []rankLoad, length time.Duration, ranked bool) (inTime [Ranks]float64) {
	rnd := rand.New(rand.NewPCG(20, 20))
	const service = 10 * time.Millisecond
	var arrivals, running []event
	var offered [Ranks]float64
	rank := map[*Waiter]int{}
	for _, o := range loads {
		for at := time.Duration(0); at < length; {
			at += time.Duration(rnd.ExpFloat64() / o.rate * float64(time.Second))
			w := &Waiter{Call: Call{Rule: "r", Weight: 1, Deadline: at + o.deadline}}
			if rank[w] = o.rank; ranked {
				w.Rank = model.Rank(o.rank)
			}
			offered[o.rank]++
			arrivals = append(arrivals, event{at, w})
		}
	}
	slices.SortFunc(arrivals, byTime)
	c, now := NewCore(l), time.Duration(0)
	start := func(w *Waiter) {
		end := now + time.Duration((0.5+rnd.Float64())*float64(service))
		if end <= w.Deadline {
			inTime[rank[w]]++
		}
		running = append(running, event{end, w})
	}
	for len(arrivals) > 0 {
		slices.SortFunc(running, byTime)
		if e := arrivals[0]; len(running) == 0 || e.at <= running[0].at {
			now, arrivals = e.at, arrivals[1:]
			if v, _ := c.Arrive(now, e.call); v == Admitted {
				start(e.call)
			}
		} else {
			e, now = running[0], running[0].at
			running = running[1:]
			c.Done(now, e.call, Completed)
		}
		for w, ok := c.Next(now); w != nil; w, ok = c.Next(now) {
			if ok {
				start(w)
			}
		}
	}
	for r := range inTime {
		inTime[r] /= max(offered[r], 1)
	}
	return inTime
}

// BenchmarkFlood reports the share of calls by rank that finish by their deadline
// when the least or the most urgent rank floods an upstream of 15 slots (1,500
// calls a second). It runs in virtual time and compares ranks with first come,
// first served.
func BenchmarkFlood(b *testing.B) {
	floods := map[string][]rankLoad{
		"low":  {{0, 400, 100 * time.Millisecond}, {2, 400, 400 * time.Millisecond}, {6, 6000, time.Second}},
		"high": {{0, 6000, 100 * time.Millisecond}, {2, 400, 400 * time.Millisecond}, {6, 400, time.Second}},
	}
	limits := Limits{Slots: 15, Floors: [Ranks]int{0: 40, 2: 20, 6: 10}}
	for name, loads := range floods {
		for _, kind := range []string{"rank", "fcfs"} {
			b.Run(fmt.Sprintf("%s/%s", name, kind), func(b *testing.B) {
				var share [Ranks]float64
				for b.Loop() {
					share = simulate(limits, loads, 20*time.Second, kind == "rank")
				}
				for _, o := range loads {
					b.ReportMetric(100*share[o.rank], fmt.Sprintf("rank%d-%%", o.rank))
				}
			})
		}
	}
}
