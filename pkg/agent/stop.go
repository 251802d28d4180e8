package agent

import (
	"context"
	"net"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
)

const (
	// exitMargin is the part of the longest stop (settings.Drain.Finish) that is
	// reserved for the end of the process. The graceful stop ends this long before
	// the longest stop does; withdrawMargin and responseMargin count back from the
	// end of the graceful stop. responseMargin states the upper limit of exitMargin.
	exitMargin = 800 * time.Millisecond
	// withdrawMargin is how long before the end of a graceful stop the attempts
	// that are queued at other nodes are withdrawn. The responses need a round trip
	// between regions.
	withdrawMargin = 250 * time.Millisecond
	// responseMargin is the time before the end of a graceful stop that is reserved
	// for the responses of other nodes and for their transfer to the callers. A
	// call that is accepted during the stop has its deadline at the beginning of
	// this time at the latest, and an earlier call is cancelled at that moment. A
	// call that its upstream is running may be cancelled only in the last sixth of
	// the longest stop. exitMargin and responseMargin together, 0.9 s, are shorter
	// than that with the default of 6 s, where it is 1 s.
	responseMargin = 100 * time.Millisecond
	// stopPollInterval is the time between two checks for unfinished calls while
	// the node stops.
	stopPollInterval = 20 * time.Millisecond
)

// addStop adds the graceful stop to the group. It begins when parent ends or the
// first signal to stop arrives, and the group ends after it. Further signals do not
// change it: a supervisor sends one for each reason to stop the node, for example its
// restart and then the end of its upstream, and each of them allows the whole time.
func (a *Agent) addStop(parent context.Context, g *run.Group, listener net.Listener) {
	failed, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		signal := ""
		select {
		case <-parent.Done():
		case s := <-a.signals.stop:
			signal = s.String()
		case <-failed.Done():
			return nil
		}
		a.guard.Go("log signals", func() { a.logFurtherSignals(failed) })
		a.stop(listener, signal)
		return nil
	}, func(error) { cancel() })
}

// logFurtherSignals logs the signals to stop that arrive during the stop, until ctx ends.
func (a *Agent) logFurtherSignals(ctx context.Context) {
	for begun := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case s := <-a.signals.stop:
			a.log.Info("node is stopping already; the signal changes nothing", zap.Stringer("signal", s), zap.Duration("stopping_for", time.Since(begun)))
		}
	}
}

// stop announces to the platform and to the callers that this node is going to
// end, and continues to accept calls for the announce time
// (settings.Drain.Announce). After that it refuses attempts of other nodes, and
// calls whose own deadline is after the end of the graceful stop. Once no attempt
// is left, it refuses all further calls. It returns when no call is left or the
// time of the graceful stop is over. signal is the one that began the stop, if any.
func (a *Agent) stop(listener net.Listener, signal string) {
	start := time.Now()
	drain := a.drain.Load()
	deadline := start.Add(time.Duration(drain.Finish) - exitMargin)
	a.log.Info("node stops", zap.String("signal", signal), zap.Int("calls", a.callServer.Active()), zap.Int("jobs", a.peerServer.Active()), zap.Time("until", deadline))
	a.stopping.Store(true)
	a.gateway.CapDeadlines(deadline.Add(-responseMargin))
	a.callServer.Drain()
	withdraw := time.AfterFunc(time.Until(deadline.Add(-withdrawMargin)), func() {
		a.guard.Do("withdraw jobs", func() { a.gateway.Withdraw(context.Background()) })
	})
	defer withdraw.Stop()
	giveUp := time.AfterFunc(time.Until(deadline.Add(-responseMargin)), func() {
		a.guard.Do("give calls up", func() {
			a.log.Info("calls without an answer are given up", zap.Int("calls", a.callServer.Active()))
			a.callServer.AbortBodyReads()
			a.gateway.CancelCalls()
		})
	})
	defer giveUp.Stop()
	a.quotas.node.Drain(false)
	var row rowRemoval
	never := func() bool { return false }
	a.await(&row, start.Add(time.Duration(drain.Announce)), never)
	// The upstream keeps serving until here, because the other nodes depend on
	// its slots.
	a.local.Stop()
	a.gateway.RefuseCallsEndingAfter(deadline)
	a.await(&row, deadline, func() bool { return a.peerServer.Active() == 0 && !a.local.Busy() })
	a.gateway.RefuseCallsEndingAfter(time.Now())
	a.callServer.Close(listener)
	a.await(&row, deadline, func() bool {
		a.callServer.CloseIdle()
		return a.callServer.Active() == 0
	})
	a.await(&row, deadline, row.finished)
	a.log.Info("graceful stop has ended", zap.Duration("took", time.Since(start)),
		zap.Int("calls_cut", a.callServer.Active()), zap.Int("jobs_cut", a.peerServer.Active()))
}

// await waits until the condition holds or the deadline has passed. Meanwhile it
// removes the row of this node if the upstream leaves.
func (a *Agent) await(row *rowRemoval, deadline time.Time, condition func() bool) {
	for {
		a.removeRowWithoutUpstream(row)
		if condition() || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// rowRemoval is the removal of the row of this node during a stop.
type rowRemoval struct{ done chan struct{} }

// finished reports whether no removal is in progress.
func (r *rowRemoval) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return r.done == nil
	}
}

// removeRowWithoutUpstream removes the row of this node once no boot of the upstream is
// known: nothing will start the node again. A node whose upstream is alive is about to
// restart and keeps its row, which saves two writes and the watch responses that they
// cause at every other node. The upstream may also leave after the stop has begun.
func (a *Agent) removeRowWithoutUpstream(row *rowRemoval) {
	if _, _, known := a.local.State(); known || row.done != nil {
		return
	}
	row.done = make(chan struct{})
	a.quotas.node.Drain(true)
	a.guard.Go("remove row", func() {
		defer close(row.done)
		a.removeRow()
	})
}
