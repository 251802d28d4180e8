package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// runningAttempt is an attempt that was sent to the upstream.
type runningAttempt struct {
	attempt *Attempt
	boot    *upstream.Boot
	started time.Time
}

// inFlightAttempts is the set of attempts at the upstream. It is safe for
// concurrent use.
type inFlightAttempts struct {
	mu       sync.Mutex
	attempts map[*runningAttempt]struct{}
}

func (f *inFlightAttempts) add(att *Attempt, boot *upstream.Boot) *runningAttempt {
	e := &runningAttempt{attempt: att, boot: boot, started: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempts == nil {
		f.attempts = make(map[*runningAttempt]struct{})
	}
	f.attempts[e] = struct{}{}
	return e
}

func (f *inFlightAttempts) remove(e *runningAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, e)
}

// count returns the number of attempts at one boot.
func (f *inFlightAttempts) count(boot *upstream.Boot) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for e := range f.attempts {
		if e.boot.Same(boot) {
			n++
		}
	}
	return n
}

// attemptEnd is how an attempt at the upstream has ended.
type attemptEnd struct {
	sent   bool  // the upstream may have received the request
	gaveUp bool  // the caller has left, or the time of the attempt is over
	err    error // of sending the request, or of reading any part of the response
	// endsWithConnection says that the response was whole as far as its connection shows,
	// which would have ended in the same way if the upstream had crashed.
	endsWithConnection bool
}

// mayBeCrash reports whether the upstream may have crashed: its connection has ended while
// it had the request, before or after the head of its response.
func (e attemptEnd) mayBeCrash() bool {
	return e.sent && !e.gaveUp && (e.err != nil || e.endsWithConnection)
}

// examine checks in the background whether the upstream has crashed, if the end of an
// attempt gives a reason. Each place where an attempt that was sent ends without a whole
// response calls it, before the attempt is removed from those that run.
func (l *Local) examine(e *runningAttempt, end attemptEnd) {
	if !end.mayBeCrash() {
		return
	}
	alone := l.running.count(e.boot) == 1
	l.Guard.Go("inspect upstream", func() {
		if alive := l.inspect(e, alone); alive && end.endsWithConnection {
			l.reportCompleted(e.attempt)
		}
	})
}

// inspectDelay is the time between the loss of a connection to the upstream and
// the check whether the upstream has crashed: a process that exits may close its
// connections before its listener.
const inspectDelay = 20 * time.Millisecond

// inspect checks whether the upstream has crashed, after the connection of an
// attempt to it was lost, and reports a crash of the request if so. Every
// request that was at the upstream gets a crash record, so several are suspected
// until one of them crashes another upstream. alone says that no other request
// was at the upstream. inspect reports whether the upstream accepts connections.
func (l *Local) inspect(e *runningAttempt, alone bool) (alive bool) {
	lostAt := time.Now() // a run that starts later, on another upstream, counts as a separate crash
	time.Sleep(inspectDelay)
	nc, err := l.pool.Dial(context.Background(), l.pool.Address)
	if err == nil {
		_ = nc.Close()
		return true
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		l.Log.Warn("connection to the upstream was lost; the check whether the upstream crashed failed", zap.String("boot", e.boot.ID), zap.Error(err))
		return false
	}
	l.mu.Lock()
	boot := l.tracker.Departure(e.boot.ID, e.boot.Start) // its first report may have arrived since
	leaving := l.tracker.IsLeaving(boot)
	l.mu.Unlock()
	if leaving {
		l.Log.Info("upstream has ended as it announced, while it ran a request", zap.String("request", e.attempt.RequestID), zap.String("boot", e.boot.ID))
		return false
	}
	l.markUnreachable(e.boot, "crashed")
	f := e.attempt.fingerprint(&l.Names)
	c := crashguard.Crash{
		ID: fmt.Sprintf("%s/%s/%s", l.Node, boot.ID, boot.Start), Upstream: l.Node, At: lostAt, RanFor: lostAt.Sub(e.started), Alone: alone,
	}
	l.Log.Warn("upstream crashed while it ran a request", zap.String("request", e.attempt.RequestID), zap.String("boot", e.boot.ID),
		zap.Stringer("fingerprint", f), zap.Duration("ran", c.RanFor), zap.Bool("alone", alone))
	l.OnCrash(f, c)
	return false
}

// crashSuspected reports whether the request of an attempt is refused because
// it has crashed upstreams. Without any record it costs one atomic load.
func (l *Local) crashSuspected(att *Attempt) bool {
	if l.CrashRecords.Empty() {
		return false
	}
	r, ok := l.CrashRecords.Lookup(att.fingerprint(&l.Names))
	return ok && r.Refused(time.Now())
}

// reportCompleted reports that a request ran to its end, if it has a crash
// record.
func (l *Local) reportCompleted(att *Attempt) {
	if l.CrashRecords.Empty() {
		return
	}
	f := att.fingerprint(&l.Names)
	if _, ok := l.CrashRecords.Lookup(f); ok {
		l.OnSuspectCompleted(f)
	}
}
