package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// withdrawTime bounds the message that withdraws a job: a way between regions
// and back takes 24 ms.
const withdrawTimeout = 200 * time.Millisecond

var (
	// errWithdrawn ends the wait of a job for a slot because the node that asked
	// for it stops.
	errWithdrawn = errors.New("job was withdrawn by the node that asked for it")
	// errGivenUp ends the calls that still wait at the end of a planned stop.
	errNodeStopping = errors.New("node ends before the answer came")
)

// endedReason returns why a call or job whose context has ended has no answer.
func endedReason(ctx context.Context) model.Reason {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errWithdrawn), errors.Is(cause, errNodeStopping):
		return model.NodeDraining
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return model.DeadlineExceeded
	}
	return model.CallerGone
}

// callContext returns the context of a call, which ends with that of its
// connection or when this node gives its calls up.
func (g *Gateway) callContext(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(g.callsCtx, func() { cancel(errNodeStopping) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// GiveUp ends every wait of this node's calls, whatever they wait for, so that
// each has an answer before the process ends: a refusal if it has not run, and
// otherwise a failure that promises nothing. Answers that have begun follow the
// link no more.
func (g *Gateway) CancelCalls() {
	g.retriesDisabled.Store(true)
	g.cancelCallsCtx()
	g.Local.Link.Disable()
}

// waitingJobs is the jobs of other nodes, and of this one, that wait for a slot.
type waitingAttempts struct {
	mu      sync.Mutex
	cancels map[string]context.CancelCauseFunc // by attempt
}

// add returns a context that ends when the job is withdrawn. done must be
// called when the job waits no more.
func (w *waitingAttempts) add(ctx context.Context, attemptID string) (waiting context.Context, done func()) {
	waiting, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancels == nil {
		w.cancels = make(map[string]context.CancelCauseFunc)
	}
	w.cancels[attemptID] = cancel
	return waiting, func() {
		cancel(nil)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancels, attemptID)
	}
}

// withdraw ends the wait of one job; a job that runs already goes on.
func (w *waitingAttempts) withdraw(attemptID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end, ok := w.cancels[attemptID]; ok {
		end(errWithdrawn)
	}
}

// Withdraw takes back all jobs of this node that have not begun to run, at
// this node and at others. Their calls are then refused truthfully; otherwise
// the end of the process would cut them without an answer.
func (g *Gateway) Withdraw(ctx context.Context) {
	g.retriesDisabled.Store(true)
	g.Remote.mu.Lock()
	active := make(map[string]string, len(g.Remote.activeAttempts))
	for attemptID, address := range g.Remote.activeAttempts {
		active[attemptID] = address
	}
	g.Remote.mu.Unlock()
	var all sync.WaitGroup
	for attemptID, address := range active {
		if address == "" {
			g.Local.waiting.withdraw(attemptID)
			continue
		}
		all.Go(func() {
			g.Local.Guard.Do("withdraw job", func() { g.Remote.withdraw(ctx, address, attemptID) })
		})
	}
	all.Wait()
}

func (r *Remote) withdraw(ctx context.Context, address, attemptID string) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	a, err := r.pool(address).Do(ctx, &h1.Request{
		Method: http.MethodPost, Target: "/", Host: address, Fields: []h1.Field{{Name: headerWithdraw, Value: attemptID}},
	})
	if err != nil {
		return // the job ends with the connection of this process
	}
	a.Close()
}
