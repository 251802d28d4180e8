package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// scriptedSource returns the errors in steps, one for each call, and then
// blocks.
type scriptedSource struct {
	steps []error
	calls []string
	after []Position
	done  chan struct{}
}

func (s *scriptedSource) next(ctx context.Context, call string, after Position) (Position, error) {
	s.calls, s.after = append(s.calls, call), append(s.after, after)
	if len(s.calls) > len(s.steps) {
		close(s.done)
		<-ctx.Done()
		return Position{}, ctx.Err()
	}
	return At(Revision(len(s.calls))), s.steps[len(s.calls)-1]
}

func (s *scriptedSource) Load(ctx context.Context) (Position, error) {
	return s.next(ctx, "load", Position{})
}

func (s *scriptedSource) Wait(ctx context.Context, after Position) (Position, error) {
	return s.next(ctx, "wait", after)
}

// Guards against a follower that loads the whole state again after an outage
// of the store: it must resume from its last revision, unless the store has
// lost the history.
func TestFollowerResumesAfterOutage(t *testing.T) {
	is := is.New(t)
	errUnavailable := errors.New("store is not available")
	s := &scriptedSource{steps: []error{errUnavailable, nil, nil, errUnavailable, nil, ErrHistoryLost, nil}, done: make(chan struct{})}
	var states []bool
	f := Follower{Name: "test", Source: s, Log: zap.NewNop(), OnAvailability: func(ok bool) { states = append(states, ok) }}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- f.Run(ctx) }()
	select {
	case <-s.done:
	case <-time.After(10 * time.Second):
		t.Fatal("follower did not finish its calls within 10 s")
	}
	cancel()
	is.NoErr(<-ended)
	is.Equal(s.calls, []string{"load", "load", "wait", "wait", "wait", "wait", "load", "wait"})
	is.Equal(s.after, []Position{At(0), At(0), At(2), At(3), At(3), At(5), At(0), At(7)})
	is.Equal(states, []bool{false, true, false, true, true})
}

// scriptedSchedule returns the values of a list, one for each call, and then
// blocks.
type scriptedSchedule []bool

func (l *scriptedSchedule) Next(ctx context.Context) bool {
	if len(*l) == 0 {
		<-ctx.Done()
		return false
	}
	next := (*l)[0]
	*l = (*l)[1:]
	return next
}

// Guards against changes that are missed by a node that does not always follow
// the store: when it reads once, it must load the whole state. When it follows
// again soon after, it must ask only for the changes since.
func TestFollowerReloadsAfterReadingOnce(t *testing.T) {
	is := is.New(t)
	s := &scriptedSource{steps: []error{nil, nil, nil, nil, nil, nil}, done: make(chan struct{})}
	f := Follower{
		Name: "test", Source: s, Log: zap.NewNop(), OnAvailability: func(bool) {}, Schedule: &scriptedSchedule{false, true, true, false, false, true, true},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- f.Run(ctx) }()
	select {
	case <-s.done:
	case <-time.After(10 * time.Second):
		t.Fatal("follower did not finish its calls within 10 s")
	}
	cancel()
	is.NoErr(<-ended)
	is.Equal(s.calls, []string{"load", "wait", "wait", "load", "load", "wait", "wait"})
}

// restoringSource loses its history at each wait, as a store does that is restored
// again and again, or of which a node reaches an older and a newer copy in turn.
type restoringSource struct{ calls atomic.Int64 }

func (s *restoringSource) Load(context.Context) (Position, error) {
	s.calls.Add(1)
	return At(1), nil
}

func (s *restoringSource) Wait(context.Context, Position) (Position, error) {
	s.calls.Add(1)
	return Position{}, ErrHistoryLost
}

// Guards against a follower that sends requests without a pause while the history
// is lost again and again. The bound is the rate of requests to a store that is not
// available, two for each delay.
func TestRepeatedHistoryLossBacksOff(t *testing.T) {
	is := is.New(t)
	s := &restoringSource{}
	f := Follower{Name: "test", Source: s, Log: zap.NewNop(), OnAvailability: func(bool) {}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(f.Run(ctx))
	is.True(s.calls.Load() <= 2*int64(time.Second/(initialBackoff/2)))
}

// watchedSource waits until each of its waits ends, with an overdue response if a step says
// so.
type watchedSource struct {
	overdue []bool
	waits   chan int // numbers of the waits, as they begin
	count   int
}

func (s *watchedSource) Load(context.Context) (Position, error) { return At(1), nil }

func (s *watchedSource) Wait(ctx context.Context, after Position) (Position, error) {
	number := s.count
	s.count++
	s.waits <- number
	if number < len(s.overdue) && s.overdue[number] {
		return Position{}, context.DeadlineExceeded
	}
	if number < len(s.overdue) {
		return after, nil
	}
	<-ctx.Done()
	return Position{}, ctx.Err()
}

// Guards against a node that does not tell when a response was overdue, that tells of an
// error of another kind, or that does not ask the store again when it should.
func TestSilenceIsReportedAndWaitIsRenewed(t *testing.T) {
	is := is.New(t)
	s := &watchedSource{overdue: []bool{false, true, true, false}, waits: make(chan int, 100)}
	responses, silences := 0, 0
	var silentAt time.Time
	f := Follower{
		Name: "test", Source: s, Log: zap.NewNop(), OnAvailability: func(bool) {},
		OnResponse: func() { responses++ }, OnSilence: func(at time.Time) { silences, silentAt = silences+1, at },
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	began := time.Now()
	go func() { ended <- f.Run(ctx) }()
	for number := range s.waits {
		if number == len(s.overdue) {
			break
		}
	}
	last := time.Now()
	is.True(!f.Renew(began)) // it has begun later
	for end := time.Now().Add(5 * time.Second); !f.Renew(time.Now()) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(<-s.waits, len(s.overdue)+1)
	cancel()
	is.NoErr(<-ended)
	is.Equal(responses, 3) // the load and two waits
	is.Equal(silences, 1)
	is.True(silentAt.After(began) && silentAt.Before(last))
}
