package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/sleep"
)

// ErrHistoryLost means that the store does not have the changes after the
// requested position.
var ErrHistoryLost = errors.New("the store no longer has the requested changes")

// errRenewed is the cause with which Renew ends a wait.
var errRenewed = errors.New("the source is to be asked again")

// errUndelivered is the cause with which Verify ends a wait.
var errUndelivered = errors.New("another node has a change that the store has not delivered")

// Source reads one kind of state from the store. A Follower does not call its
// methods concurrently. It treats every error other than ErrHistoryLost as an
// unavailable store.
type Source interface {
	// Load reads and applies the whole state, and returns its position.
	Load(ctx context.Context) (Position, error)
	// Wait waits a limited time for changes after a position, applies them, and
	// returns the position to continue from. It returns ErrHistoryLost if the
	// whole state has to be loaded again.
	Wait(ctx context.Context, after Position) (Position, error)
}

// Schedule decides when a node reads from the store, if other nodes can read
// on its behalf.
type Schedule interface {
	// Next blocks until this node is to read from the store, or until ctx ends.
	// It returns true if the node is to follow the changes from now on, and
	// false if it is to load the whole state once.
	Next(ctx context.Context) (follows bool)
}

const (
	// initialBackoff and maxBackoff bound the delay after a failed request to
	// the store. A change must be in force 2 s after it was accepted. All nodes
	// use the same store, so each sends it about one request per second while it
	// is not available.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// resumeWindow is the longest time after a response for which a node that
	// stopped following the store resumes from its last position. After that it
	// loads the whole state. The store keeps the changes of the last 20 s.
	resumeWindow = 5 * time.Second
	// verifyTimeout bounds the read with which a follower verifies that the store
	// responds. A store that answers 150 times as slowly as usual needs 0.6 s.
	verifyTimeout = time.Second
	// urgentPause is the longest delay between a response and the next request while
	// changes are urgent.
	urgentPause = 400 * time.Millisecond
)

// Follower keeps the state of one Source up to date. Its fields must not change
// after Run was called.
type Follower struct {
	Name   string // identifies the source in log lines
	Source Source
	// Pause is the delay between a response and the next request, so that
	// changes in quick succession share a response.
	Pause time.Duration
	// Urgent reports whether changes are urgent now, so that the delay is urgentPause at the
	// most; nil means that they never are.
	Urgent func() bool
	Log    *zap.Logger
	// Schedule decides when this node reads from the store; nil means always.
	Schedule Schedule
	// OnAvailability is called by Run, and must not be nil. It gets false for the
	// first of consecutive errors, and true for the first response after the start,
	// after errors, or after the history of the store was lost.
	OnAvailability func(available bool)
	// OnResponse is called by Run after each response, when it was applied. Nil means that
	// nothing is to be done.
	OnResponse func()
	// OnSilence is called by Run with the time at which a response to a wait was overdue,
	// once the source responds again. Nil means that nothing is to be done.
	OnSilence func(at time.Time)

	waiting atomic.Pointer[wait] // nil if the source is not waiting for changes
}

// wait is a call of Source.Wait that is in progress.
type wait struct {
	began time.Time
	end   context.CancelCauseFunc
}

// Verify says that a change exists at another node since a time. If the source has
// been waiting for changes since then or longer, without a response, its silence may
// mean that the store does not respond: the wait ends, and the whole state is read,
// for a short time. It is safe for concurrent use.
func (f *Follower) Verify(since time.Time) {
	if w := f.waiting.Load(); w != nil && !w.began.After(since) {
		w.end(errUndelivered)
	}
}

// Renew ends a wait for changes that began before a time, and waits again. It reports
// whether there was one. It is safe for concurrent use.
func (f *Follower) Renew(before time.Time) (renewed bool) {
	w := f.waiting.Load()
	if w == nil || !w.began.Before(before) {
		return false
	}
	w.end(errRenewed)
	return true
}

// Run follows the source until ctx ends, then returns nil. It must not be
// called concurrently.
func (f *Follower) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	var at Position
	var lastRead time.Time    // time of the last response
	var silentSince time.Time // when a response to a wait was overdue
	loaded, failing, reported, wasFollowing, lostBefore, verifying := false, false, false, true, false, false
	for ctx.Err() == nil {
		follows := f.Schedule == nil || f.Schedule.Next(ctx)
		if ctx.Err() != nil {
			break
		}
		if follows != wasFollowing {
			f.Log.Info("turn at the store has changed", zap.String("follows", f.Name), zap.Bool("continuously", follows))
		}
		if !follows || !wasFollowing && time.Since(lastRead) > resumeWindow {
			loaded = false // changes may have been missed
		}
		wasFollowing = follows
		next, err := f.loadOrWait(ctx, loaded, verifying, at)
		verifying = false
		switch {
		case err == nil:
			if !silentSince.IsZero() && f.OnSilence != nil {
				f.OnSilence(silentSince)
			}
			silentSince = time.Time{}
			if f.OnResponse != nil {
				f.OnResponse()
			}
			if failing || !reported {
				f.Log.Info("store is available", zap.String("follows", f.Name), zap.Inline(next))
				f.OnAvailability(true)
			}
			if loaded {
				lostBefore = false
			}
			if !lostBefore {
				delays.Reset()
			}
			at, lastRead, loaded, failing, reported = next, time.Now(), true, false, true
			sleep.For(ctx, f.pause())
		case ctx.Err() != nil, errors.Is(err, errRenewed):
		case errors.Is(err, errUndelivered):
			f.Log.Info("store has not delivered a change that another node has; the whole state is read", zap.String("follows", f.Name),
				zap.Inline(at), zap.Duration("waited", time.Since(lastRead)))
			loaded, verifying = false, true
		case errors.Is(err, ErrHistoryLost):
			f.Log.Warn("store no longer has the changes; the whole state is loaded again",
				zap.String("follows", f.Name), zap.Inline(at))
			if lostBefore {
				sleep.For(ctx, delays.NextBackOff())
			}
			loaded, reported, lostBefore = false, false, true
		default:
			if !failing {
				f.Log.Warn("store is not available", zap.String("follows", f.Name), zap.Inline(at), zap.Error(err))
				f.OnAvailability(false)
			}
			if !failing && loaded && errors.Is(err, context.DeadlineExceeded) {
				silentSince = time.Now()
			}
			failing = true
			sleep.For(ctx, delays.NextBackOff())
		}
	}
	return nil
}

// pause returns the delay between a response and the next request.
func (f *Follower) pause() time.Duration {
	if f.Urgent != nil && f.Urgent() {
		return min(f.Pause, urgentPause)
	}
	return f.Pause
}

// loadOrWait calls the source. A wait that Verify or Renew ends returns errUndelivered or
// errRenewed.
func (f *Follower) loadOrWait(ctx context.Context, loaded, verifying bool, at Position) (Position, error) {
	if !loaded && verifying {
		ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
		return f.Source.Load(ctx)
	}
	if !loaded {
		return f.Source.Load(ctx)
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.waiting.Store(&wait{began: time.Now(), end: end})
	defer f.waiting.Store(nil)
	next, err := f.Source.Wait(ctx, at)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errUndelivered) || errors.Is(cause, errRenewed)) {
		err = cause
	}
	return next, err
}
