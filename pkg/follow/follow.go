package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// Revision orders the states of the store.
type Revision uint64

// ErrHistoryLost means that the store no longer holds the changes after the
// stated revision.
var ErrHistoryLost = errors.New("the store no longer holds the changes asked for")

// Source is what is followed.
type Source interface {
	// Load takes the whole state and returns its revision.
	Load(ctx context.Context) (Revision, error)
	// Wait takes the changes after a revision, blocking for a while until
	// there is one, and returns the revision to go on from. It returns
	// ErrHistoryLost where only Load helps.
	Wait(ctx context.Context, after Revision) (Revision, error)
}

// Turns says when a node uses the store, where other nodes do it for it.
type Schedule interface {
	// Next blocks until this node is to use the store. It reports whether the
	// node follows the store from now on; otherwise the whole state is read
	// once.
	Next(ctx context.Context) (follows bool)
}

const (
	// firstDelay and maxDelay bound the wait after a failed call of the store.
	// A change must be in force 2 s after it was accepted, and the calls are
	// shared by all nodes, so a store that is away gets about one call a
	// second from each.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
	// resumeTime is how long after an answer a node that did not follow the
	// store meanwhile asks for the changes since. The store keeps 20 s of them.
	resumeWindow = 5 * time.Second
)

// Follower follows one Source.
type Follower struct {
	Name   string // in log lines
	Source Source
	// Pause is the least time between the answer to one Wait and the next, so
	// that changes in quick succession share a call.
	Pause time.Duration
	Log   *zap.Logger
	// Turns says when this node uses the store; nil stands for always.
	Schedule Schedule
	// OnState is told when the store is lost or regained.
	OnAvailability func(available bool)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	var revision Revision
	var lastRead time.Time // last answer
	loaded, failing, reported, wasFollowing := false, false, false, true
	for ctx.Err() == nil {
		follows := f.Schedule == nil || f.Schedule.Next(ctx)
		if ctx.Err() != nil {
			break
		}
		if follows != wasFollowing {
			f.Log.Info("turn at the store has changed", zap.String("follows", f.Name), zap.Bool("continuously", follows))
		}
		if !follows || !wasFollowing && time.Since(lastRead) > resumeWindow {
			loaded = false // changes were missed
		}
		wasFollowing = follows
		next, err := f.loadOrWait(ctx, loaded, revision)
		switch {
		case err == nil:
			if failing || !reported {
				f.Log.Info("store is available", zap.String("follows", f.Name), zap.Uint64("revision", uint64(next)))
				f.OnAvailability(true)
			}
			revision, lastRead, loaded, failing, reported = next, time.Now(), true, false, true
			delays.Reset()
			sleep(ctx, f.Pause)
		case ctx.Err() != nil:
		case errors.Is(err, ErrHistoryLost):
			f.Log.Warn("store dropped its history; the whole state is read again",
				zap.String("follows", f.Name), zap.Uint64("revision", uint64(revision)))
			loaded, reported = false, false
		default:
			if !failing {
				f.Log.Warn("store is not available", zap.String("follows", f.Name),
					zap.Uint64("revision", uint64(revision)), zap.Error(err))
				f.OnAvailability(false)
			}
			failing = true
			sleep(ctx, delays.NextBackOff())
		}
	}
	return nil
}

func (f *Follower) loadOrWait(ctx context.Context, loaded bool, at Revision) (Revision, error) {
	if !loaded {
		return f.Source.Load(ctx)
	}
	return f.Source.Wait(ctx, at)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
