package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Guards against slots that leak or are given twice when calls are cancelled, time
// out and finish at the same moment.
func TestGateUnderConcurrency(t *testing.T) {
	const slots = 6
	g := NewGate(Limits{Slots: slots, Floors: [Ranks]int{0: 30, 5: 20}})
	var running, above, admitted atomic.Int64
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(20, uint64(i)))
			for range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.IntN(4000))*time.Microsecond)
				s, refused := g.Acquire(ctx, Call{Rank: model.Rank(rnd.IntN(8)), Rule: "r", Weight: 1}, time.Now().Add(3*time.Millisecond), time.Time{})
				if refused == nil {
					admitted.Add(1)
					if running.Add(1) > slots {
						above.Add(1)
					}
					time.Sleep(time.Duration(rnd.IntN(500)) * time.Microsecond)
					running.Add(-1)
					s.Release(Outcome(rnd.IntN(4)))
				}
				cancel()
			}
		}()
	}
	wg.Wait()
	s := g.State()
	if s.Running != 0 || s.Waiting != 0 || above.Load() > 0 || admitted.Load() == 0 {
		t.Fatalf("state %+v, %d ran above the limit, %d admitted", s, above.Load(), admitted.Load())
	}
}

// Checks the reasons of refusals and that RetryAfter is set for a full queue.
func TestGateRefusals(t *testing.T) {
	g := NewGate(Limits{Slots: 1})
	far := time.Now().Add(time.Hour)
	s, _ := g.Acquire(context.Background(), Call{}, far, time.Time{})
	if _, r := g.Acquire(context.Background(), Call{}, time.Now().Add(10*time.Millisecond), time.Time{}); r == nil || r.Reason != model.DeadlineExceeded {
		t.Fatalf("deadline passed in the queue: got refusal %v, want reason %s", r, model.DeadlineExceeded)
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if _, r := g.Acquire(gone, Call{}, far, time.Time{}); r == nil || r.Reason != model.CallerGone {
		t.Fatalf("call cancelled: got refusal %v, want reason %s", r, model.CallerGone)
	}
	waiting, stop := context.WithCancel(context.Background())
	for range g.core.QueueLimit(0) {
		go func() { _, _ = g.Acquire(waiting, Call{Rank: 3}, far, time.Time{}) }()
	}
	for g.State().Waiting < g.core.QueueLimit(0) {
		time.Sleep(time.Millisecond)
	}
	if _, r := g.Acquire(context.Background(), Call{Rank: 3}, far, time.Time{}); r == nil || r.Reason != model.Overloaded || r.RetryAfter <= 0 {
		t.Fatalf("queue full: got refusal %v, want reason %s with RetryAfter", r, model.Overloaded)
	}
	stop()
	for g.State().Waiting > 0 {
		time.Sleep(time.Millisecond)
	}
	s.Release(Completed)
}
