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

// withdrawTimeout limits the message that withdraws an attempt. A round trip
// between regions takes 24 ms.
const withdrawTimeout = 200 * time.Millisecond

var (
	// errWithdrawn ends the wait of an attempt for a slot because the node that
	// sent it stops.
	errWithdrawn = errors.New("attempt was withdrawn by the node that sent it")
	// errNodeStopping ends the calls that still wait at the end of a planned
	// stop.
	errNodeStopping = errors.New("node stopped before the response arrived")
)

// endedReason returns the reason why a call or attempt whose context has ended
// has no response.
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

// callContext returns the context of a call. It ends with parent, the context
// of the connection, or when CancelCalls is called.
func (g *Gateway) callContext(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(g.callsCtx, func() { cancel(errNodeStopping) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// CancelCalls ends every wait of the calls of this node, so that each call has
// a response before the process ends: a refusal if it has not run, otherwise a
// status that does not state whether it has run. Downloads that have begun are
// sent without following the rate of the link. There are no retries afterwards.
func (g *Gateway) CancelCalls() {
	g.retriesDisabled.Store(true)
	g.cancelCallsCtx()
	g.Local.Link.Disable()
}

// waitingAttempts are the attempts of all nodes that wait for a slot here. It
// is safe for concurrent use.
type waitingAttempts struct {
	mu      sync.Mutex
	cancels map[string]context.CancelCauseFunc // by attempt ID
}

// add returns a context that ends when the attempt is withdrawn. done must be
// called when the attempt no longer waits.
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

// withdraw ends the wait of one attempt. It has no effect on an attempt that
// runs already.
func (w *waitingAttempts) withdraw(attemptID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end, ok := w.cancels[attemptID]; ok {
		end(errWithdrawn)
	}
}

// Withdraw cancels all attempts of this node that have not begun to run, at
// this node and at remote ones, and prevents retries. Their calls are then
// refused as not run; otherwise the end of the process would cut them off
// without a response. It returns when all remote nodes have responded, or after
// 200 ms (withdrawTimeout) or the end of ctx.
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
		return // the remote attempt ends with the connection of this process
	}
	a.Close()
}
