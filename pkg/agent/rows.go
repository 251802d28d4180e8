package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/sleep"
)

const (
	// rowWriteTimeout bounds one write of the row of this node, and rowRetryDelay
	// is the mean time between a failed write and the next one.
	rowWriteTimeout = 3 * time.Second
	rowRetryDelay   = time.Second
	// reconcilePeriod is the time between two checks of rows that a restored store
	// has lost or brought back, while there are any.
	reconcilePeriod = 500 * time.Millisecond
)

// rowIsWritten reports whether the store has the row of this node as far as is
// known here. A fleet that is older than the last write does not contain it.
func (a *Agent) rowIsWritten() bool {
	f := a.fleetView.Current()
	if written := a.rowWrittenAt.Load(); written != nil && !f.Position.After(*written) {
		return true
	}
	row, ok := f.Registered(a.self.Node)
	return ok && row == a.self
}

// maintainRow writes the row of this node whenever it is missing from the store
// or wrong, and ever less often if another writer keeps changing it. If the rows of many nodes are missing, the nodes spread their writes.
func (a *Agent) maintainRow(ctx context.Context) error {
	failing := false
	var pacer fleet.RewritePacer
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.rowOutdated:
		}
		if pause := pacer.Pause(time.Now()); pause > 0 {
			a.log.Warn("row of this node was changed by another writer soon after it was written", zap.Duration("written_again_in", pause))
			sleep.For(ctx, pause)
		}
		if missing := a.fleetView.Current().Unconfirmed(); missing > 0 {
			sleep.For(ctx, fleet.RegistrationDelay(missing, rand.Float64()))
		}
		for !a.stopping.Load() && ctx.Err() == nil {
			writeCtx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
			at, err := a.registry.Register(writeCtx, a.self)
			cancel()
			if err == nil {
				a.rowWrittenAt.Store(&at)
				pacer.Written(time.Now())
				a.log.Info("row of this node is written", zap.Inline(at))
				failing = false
				break
			}
			if !failing {
				a.log.Warn("row of this node cannot be written", zap.Error(err))
			}
			failing = true
			sleep.For(ctx, rowRetryDelay/2+rand.N(rowRetryDelay)+fleet.RegistrationDelay(a.fleetView.Current().Unconfirmed(), rand.Float64()))
		}
	}
}

// removeRow removes the row of this node.
func (a *Agent) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), rowWriteTimeout)
	defer cancel()
	if err := a.registry.Deregister(ctx, a.self.Node); err != nil {
		a.log.Warn("row of this node cannot be removed", zap.Error(err))
		return
	}
	a.log.Info("row of this node is removed")
}

// removeLostNodes removes the rows of nodes that fleet.View considers lost.
func (a *Agent) removeLostNodes(ctx context.Context) {
	a.removeRows(ctx, a.fleetView.NodesToRemove(time.Now(), rand.Float64()), fleet.LostAfter, "node has not responded for a long time")
}

// reconcileRows completes the fleet after a restore of the store: it removes nodes
// that have not written their rows again, and rows of nodes that had left.
func (a *Agent) reconcileRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.fleetView.RestoreNoticed():
		}
		for ctx.Err() == nil && a.fleetView.Reconciling() {
			sleep.For(ctx, reconcilePeriod)
			if dropped := a.fleetView.DropUnconfirmed(time.Now()); len(dropped) > 0 {
				a.log.Warn("nodes have not written their rows again after a restore of the store", zap.Any("others", dropped))
				a.onFleetChange(dropped)
			}
			a.removeRows(ctx, a.fleetView.DepartedToRemove(a.self.Node, time.Now()), fleet.DepartedAfter, "node had left before a restore of the store")
		}
	}
}

// removeRows removes the rows of other nodes that have been unreachable for at
// least the given time. A row that has changed in the meantime stays.
func (a *Agent) removeRows(ctx context.Context, members []fleet.Member, unreachable time.Duration, reason string) {
	for _, m := range members {
		writeCtx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
		err := a.registry.Remove(writeCtx, m)
		cancel()
		if err != nil {
			a.log.Warn("row of a lost node cannot be removed", zap.String("other", string(m.Node)), zap.String("reason", reason), zap.Error(err))
			continue
		}
		a.log.Info("row of a lost node is removed", zap.String("other", string(m.Node)), zap.Duration("unreachable_for_at_least", unreachable),
			zap.String("reason", reason))
	}
}
