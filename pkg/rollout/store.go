package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
)

// ErrConflict means that the status in the store is another one than expected; nothing was
// changed.
var ErrConflict = errors.New("status in the store has changed")

// Reading is what was read of the orders in the store.
type Reading struct {
	Orders []Order
	// Removed are the services whose orders were removed.
	Removed []string
	// Whole says that Orders are all orders that the store holds.
	Whole bool
	// At is the position up to which the store was read.
	At follow.Position
}

// Status is the row of a rollout in the store. Its State has the order, the phase and the
// version that was in use before.
type Status struct {
	State
	Revision follow.Revision // 0 if there is no row
}

// Store holds the statuses of rollouts.
type Store interface {
	// Statuses returns all statuses. Rows that cannot be read are left out.
	Statuses(ctx context.Context) ([]Status, error)
	// SaveStatus writes a status if the row has the expected revision (0: if there is
	// none), and returns the new revision. Otherwise it returns ErrConflict and the
	// status that the store holds, whose service is empty if it cannot be read. After any
	// other error the status may have been written.
	SaveStatus(ctx context.Context, s State, expected follow.Revision) (Status, error)
}

// ApplyReading applies what was read of the orders. It returns the states that are new. An
// order that an older copy of the store lacks stays in effect.
func (t *Table) ApplyReading(r Reading, now time.Time) []State {
	fresh := t.ApplyOrders(r.Orders, now)
	removed := r.Removed
	if r.Whole {
		listed := make(map[string]bool, len(r.Orders))
		for _, o := range r.Orders {
			listed[o.Service] = true
		}
		for _, v := range t.Current().All() {
			if v.HasOrder() && !listed[v.Service] {
				removed = append(removed, v.Service)
			}
		}
	}
	for _, service := range removed {
		fresh = append(fresh, t.Withdraw(service, r.At, now)...)
	}
	return fresh
}
