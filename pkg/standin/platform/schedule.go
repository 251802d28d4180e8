package platform

import (
	"context"
	"runtime"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Verdict is the fate of one request of an actor.
type Verdict int

// Verdicts. A read whose answer is lost or late is unavailable.
const (
	Serve  Verdict = iota
	Refuse         // no effect, and the actor knows
	Lose           // takes effect at once, the answer is lost
	Late           // takes effect at a later time, the answer is lost
	Die            // the actor ends before the request is sent
)

// Schedule interleaves the requests of several actors in an order that a test
// chooses. Only one actor runs at a time, so a test with a fixed seed repeats.
type Schedule struct {
	Rows  *Rows
	Blobs *Blobs

	late []func()
}

// NewSchedule returns a schedule over empty state.
func NewSchedule() *Schedule { return &Schedule{Rows: NewRows(), Blobs: NewBlobs()} }

// ApplyLate lets the oldest late write take effect, if there is one.
func (s *Schedule) ApplyLate() {
	if len(s.late) > 0 {
		s.late[0]()
		s.late = s.late[1:]
	}
}

// Actor runs one function at a time and stops before each of its requests.
type Actor struct {
	schedule *Schedule
	events   chan chan Verdict
	waiting  chan Verdict
}

// NewActor returns an idle actor.
func (s *Schedule) NewActor() *Actor { return &Actor{schedule: s, events: make(chan chan Verdict)} }

// Start runs fn up to its first request or its end.
func (a *Actor) Start(fn func()) {
	go func() {
		defer func() { a.events <- nil }()
		fn()
	}()
	a.waiting = <-a.events
}

// Busy reports whether the actor waits for a verdict.
func (a *Actor) Busy() bool { return a.waiting != nil }

// Resume gives the verdict on the waiting request and runs the actor up to
// its next request or its end.
func (a *Actor) Resume(v Verdict) {
	a.waiting <- v
	a.waiting = <-a.events
}

// Table returns the table service as the actor sees it.
func (a *Actor) Table() platform.Table { return actorTable{a} }

// Objects returns the object store as the actor sees it.
func (a *Actor) Objects() platform.Objects { return actorObjects{a} }

func ask[T any](a *Actor, write bool, effect func() (T, error)) (T, error) {
	verdict := make(chan Verdict)
	a.events <- verdict
	var none T
	switch v := <-verdict; {
	case v == Serve:
		return effect()
	case v == Die:
		runtime.Goexit()
	case v == Refuse || !write:
		return none, platform.ErrUnavailable
	case v == Lose:
		_, _ = effect()
	case v == Late:
		a.schedule.late = append(a.schedule.late, func() { _, _ = effect() })
	}
	return none, platform.ErrOutcomeUnknown
}

type actorTable struct{ *Actor }

func (t actorTable) Get(ctx context.Context, key string) (platform.Row, error) {
	return ask(t.Actor, false, func() (platform.Row, error) { return t.schedule.Rows.Get(ctx, key) })
}

func (t actorTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return ask(t.Actor, false, func() ([]platform.Row, error) { return t.schedule.Rows.Scan(ctx, prefix, after, limit) })
}

func (t actorTable) Commit(ctx context.Context, tx platform.Transaction) ([]platform.Row, error) {
	return ask(t.Actor, true, func() ([]platform.Row, error) { return t.schedule.Rows.Commit(ctx, tx) })
}

type actorObjects struct{ *Actor }

func (o actorObjects) Get(ctx context.Context, key string) (platform.Object, error) {
	return ask(o.Actor, false, func() (platform.Object, error) { return o.schedule.Blobs.Get(ctx, key) })
}

func (o actorObjects) Head(ctx context.Context, key string) (string, error) {
	return ask(o.Actor, false, func() (string, error) { return o.schedule.Blobs.Head(ctx, key) })
}

func (o actorObjects) Put(ctx context.Context, key string, body []byte, ifMatch string) (string, error) {
	return ask(o.Actor, true, func() (string, error) { return o.schedule.Blobs.Put(ctx, key, body, ifMatch) })
}

// Late returns the writes that have not taken effect yet.
func (s *Schedule) Late() []func() { return s.late }
