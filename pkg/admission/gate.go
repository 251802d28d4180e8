package admission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Refusal says why a call was not admitted; the call has not run.
type Refusal struct {
	Reason     model.Reason
	RetryAfter time.Duration // time after which to retry, with jitter; 0 if a retry would not help
	// QueueTime is the expected queue time of the call, 0 if it is not known.
	QueueTime time.Duration
	// Late says that the call was refused because it could no longer meet its latency
	// target (Limits.RefuseLate).
	Late bool
}

// Error implements error. The message holds the reason.
func (r *Refusal) Error() string { return fmt.Sprintf("call not admitted: %s", r.Reason) }

// Gate admits calls by the decisions of a Core. Its methods are safe for
// concurrent use. One mutex guards the Core: it is held for well under a
// microsecond, and one upstream runs at most about 15 calls.
type Gate struct {
	// Guard recovers panics in the timer of the rate limit.
	Guard *contain.Guard

	mu    sync.Mutex
	core  *Core
	start time.Time
	pool  sync.Pool
	// nextStart calls dispatch when the rate limit lets a waiting call start.
	nextStart *time.Timer
}

// NewGate returns a Gate for one upstream.
func NewGate(l Limits) *Gate {
	g := &Gate{core: NewCore(l), start: time.Now()}
	g.pool.New = func() any { return &Waiter{ready: make(chan bool, 1)} }
	return g
}

func (g *Gate) now() time.Duration { return time.Since(g.start) }

// SetLimits changes the capacity. It is cheap if the limits are unchanged. Calls
// that no longer fit in the queue of a lower rate limit are refused.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setLimits(l)
}

// EndRateLimit ends the rate limit, if there is one.
func (g *Gate) EndRateLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.core.limits
	l.RateLimited, l.RateLimit = false, 0
	g.setLimits(l)
}

// setLimits does what SetLimits does. The caller holds the mutex.
func (g *Gate) setLimits(l Limits) {
	if g.core.limits == l {
		return
	}
	now := g.now()
	g.core.SetLimits(now, l)
	for w := g.core.RemoveExcess(now); w != nil; w = g.core.RemoveExcess(now) {
		w.ready <- false
	}
	g.dispatch()
}

// State returns the current load figures.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.State(g.now())
}

// Slot is the slot of an admitted call. Release must be called exactly once.
type Slot struct {
	gate   *Gate
	waiter *Waiter
}

// Overtook reports whether the call started before an older one, because its team had
// received less of its share.
func (s Slot) Overtook() bool { return s.waiter.overtook }

// Acquire admits a call. It waits for a slot at most until the deadline or until
// ctx ends. due is the time at which the response misses its latency target, the
// zero time without a target. c.Deadline and c.Due are ignored.
//
// The Refusal is nil if the call is admitted. Otherwise its reason is
// DeadlineUnreachable if the call was refused on arrival because it cannot finish
// before its deadline, DeadlineExceeded if the deadline or that of ctx passed in the
// queue, CallerGone if ctx was cancelled, and Overloaded in all other cases.
func (g *Gate) Acquire(ctx context.Context, c Call, deadline, due time.Time) (Slot, *Refusal) {
	w := g.pool.Get().(*Waiter)
	w.Call, w.late, w.overtook = c, false, false
	w.Deadline, w.Due = deadline.Sub(g.start), 0
	if !due.IsZero() {
		w.Due = max(due.Sub(g.start), 1)
	}
	d, queueTime := g.arrive(w)
	switch d {
	case Admitted:
		return Slot{g, w}, nil
	case Queued:
		return g.wait(ctx, w)
	}
	g.pool.Put(w)
	reason := model.Overloaded
	if d == DeadlineUnreachable {
		reason = model.DeadlineUnreachable
	}
	return Slot{}, &Refusal{Reason: reason, RetryAfter: addJitter(queueTime), QueueTime: queueTime}
}

// arrive decides on a new call. For a refused call it also returns the time
// until a later call could be admitted.
func (g *Gate) arrive(w *Waiter) (d Decision, queueTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	d, dropped := g.core.Arrive(now, w)
	if dropped != nil {
		dropped.ready <- false
	}
	if d == Queued {
		for late := g.core.RemoveLate(now); late != nil; late = g.core.RemoveLate(now) {
			late.ready <- false
		}
		g.dispatch()
	}
	if d == Overloaded || d == DeadlineUnreachable {
		queueTime = g.core.ExpectedQueueTime(now, &w.Call)
	}
	return d, queueTime
}

// maxRetryAfter limits what is stated as the time after which to retry, before
// the jitter: a rate limit may rise or end at any time.
const maxRetryAfter = 10 * time.Second

// addJitter returns a time between half of d and one and a half times d, plus up
// to 1 s, so that refused callers do not all retry at once. d counts as
// maxRetryAfter at most.
func addJitter(d time.Duration) time.Duration {
	d = min(d, maxRetryAfter)
	return time.Duration((0.5+rand.Float64())*float64(d)) + rand.N(time.Second)
}

// wait blocks until the queued call is admitted or dropped, its deadline passes
// or ctx ends.
func (g *Gate) wait(ctx context.Context, w *Waiter) (Slot, *Refusal) {
	timer := time.NewTimer(w.Deadline - g.now())
	defer timer.Stop()
	select {
	case ok := <-w.ready:
		return g.finishWait(w, ok)
	case <-ctx.Done():
	case <-timer.C:
	}
	if !g.withdraw(w) { // it was admitted or dropped meanwhile
		return g.finishWait(w, <-w.ready)
	}
	g.pool.Put(w)
	if errors.Is(ctx.Err(), context.Canceled) {
		return Slot{}, &Refusal{Reason: model.CallerGone}
	}
	return Slot{}, &Refusal{Reason: model.DeadlineExceeded}
}

// withdraw takes a call out of its queue. It returns false if the call is no
// longer queued.
func (g *Gate) withdraw(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.flow == nil {
		return false
	}
	g.core.Remove(w)
	return true
}

func (g *Gate) finishWait(w *Waiter, admitted bool) (Slot, *Refusal) {
	if admitted {
		return Slot{g, w}, nil
	}
	expired, late := w.Deadline <= g.now(), w.late
	c := w.Call
	g.pool.Put(w)
	if expired {
		return Slot{}, &Refusal{Reason: model.DeadlineExceeded}
	}
	g.mu.Lock()
	queueTime := g.core.ExpectedQueueTime(g.now(), &c)
	g.mu.Unlock()
	return Slot{}, &Refusal{Reason: model.Overloaded, RetryAfter: addJitter(queueTime), QueueTime: queueTime, Late: late}
}

// dispatch gives free slots to waiting calls. The caller holds the mutex.
func (g *Gate) dispatch() {
	for {
		w, admitted := g.core.Next(g.now())
		if w == nil {
			break
		}
		w.ready <- admitted
	}
	wait, ok := g.core.NextStart(g.now())
	if !ok {
		return
	}
	if g.nextStart == nil {
		g.nextStart = time.AfterFunc(wait, func() { g.Guard.Do("rate limit", g.dispatchLocked) })
		return
	}
	g.nextStart.Reset(wait)
}

func (g *Gate) dispatchLocked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
}

// Release frees the slot and records how the call ended.
func (s Slot) Release(outcome Outcome) {
	s.gate.done(s.waiter, outcome)
	s.gate.pool.Put(s.waiter)
}

func (g *Gate) done(w *Waiter, outcome Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Done(g.now(), w, outcome)
	g.dispatch()
}
