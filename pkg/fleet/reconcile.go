package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// registrationRate is the number of lost rows that all nodes together write
	// again in a second. One part of the store takes 200 transactions a second.
	registrationRate = 100
	// confirmTime is how long a node whose row was lost stays in the fleet, in
	// addition to registrationSpread. It covers a repeated write of the row and the
	// pause between two watches of the fleet.
	confirmTime = 5 * time.Second
	// DepartedAfter is how long a node that had left before the store brought its
	// row back must be unreachable for the row to be removed. Probes of the node
	// take half a second each.
	DepartedAfter = 2 * time.Second
	// removalStagger is the time after which the next node removes a row that is
	// still there. It is longer than the pause between two watches of the fleet.
	removalStagger = 3 * time.Second
	// maxDeparted bounds the number of nodes that are remembered after their rows
	// were removed.
	maxDeparted = 1024
)

// registrationSpread returns the time over which nodes spread the writes of their
// rows if a number of rows is missing from the store.
func registrationSpread(missing int) time.Duration {
	return time.Duration(missing) * time.Second / registrationRate
}

// RegistrationDelay returns how long a node waits before it writes its row if a
// number of rows is missing from the store. random is a random number in [0, 1).
func RegistrationDelay(missing int, random float64) time.Duration {
	return time.Duration(random * float64(registrationSpread(missing)))
}

// reconciliation holds what a view knows about rows that a restored store has
// lost or brought back.
type reconciliation struct {
	// unconfirmed are the nodes whose rows were lost.
	unconfirmed map[model.NodeID]unconfirmed
	// returned are the nodes that had left before the store brought their rows
	// back, and the times at which this was noticed or a removal was due last.
	returned map[model.NodeID]time.Time
	// departed are nodes whose rows were removed, and departures their order.
	departed   map[model.NodeID]Member
	departures []model.NodeID
	noticed    chan struct{} // gets a value when the rows of a restored store are taken
}

type unconfirmed struct {
	member Member
	until  time.Time
}

func newReconciliation() reconciliation {
	return reconciliation{
		unconfirmed: make(map[model.NodeID]unconfirmed), returned: make(map[model.NodeID]time.Time), departed: make(map[model.NodeID]Member),
		noticed: make(chan struct{}, 1),
	}
}

// advance makes the rows at a later position current. Rows that a restored store
// lacks belong to nodes that may live and write them again, so these nodes stay in
// the fleet for a while. Rows that it has brought back belong to nodes that have
// probably left, so these nodes count as unreachable until they respond to a
// probe. The mutex is held.
func (v *View) advance(next map[model.NodeID]Member, at follow.Position, now time.Time) {
	old := v.current.Load()
	restored := v.loaded.Load() && at.Era != old.Position.Era
	for id, m := range old.registered {
		if _, ok := next[id]; ok {
			continue
		}
		if restored {
			v.rows.unconfirmed[id] = unconfirmed{member: m}
		} else {
			delete(v.unavailable, id)
			delete(v.software, id)
			v.rows.recordDeparture(m)
		}
	}
	for id, m := range next {
		delete(v.rows.unconfirmed, id)
		if restored && v.rows.departed[id] == m {
			v.rows.returned[id] = now
			v.setUnavailable(id, model.Unreachable, now, now)
		} else if old.registered[id] != m {
			delete(v.rows.returned, id)
		}
		delete(v.rows.departed, id)
	}
	for id := range v.rows.returned {
		if _, ok := next[id]; !ok {
			delete(v.rows.returned, id)
		}
	}
	if restored {
		until := now.Add(confirmTime + registrationSpread(len(v.rows.unconfirmed)))
		for id, u := range v.rows.unconfirmed {
			v.rows.unconfirmed[id] = unconfirmed{member: u.member, until: until}
		}
		select {
		case v.rows.noticed <- struct{}{}:
		default:
		}
	}
	v.publish(next, at)
}

func (r *reconciliation) recordDeparture(m Member) {
	delete(r.unconfirmed, m.Node)
	if _, ok := r.departed[m.Node]; !ok {
		r.departures = append(r.departures, m.Node)
	}
	r.departed[m.Node] = m
	if len(r.departures) > maxDeparted {
		delete(r.departed, r.departures[0])
		r.departures = slices.Clone(r.departures[1:])
	}
}

// RestoreNoticed returns a channel that gets a value when the view has taken the
// rows of a restored store.
func (v *View) RestoreNoticed() <-chan struct{} { return v.rows.noticed }

// Reconciling reports whether nodes are unconfirmed, or rows of nodes that have
// left are back.
func (v *View) Reconciling() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.rows.unconfirmed)+len(v.rows.returned) > 0
}

// DropUnconfirmed removes the nodes that have not written their rows again in
// time, and returns them.
func (v *View) DropUnconfirmed(now time.Time) []model.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var dropped []model.NodeID
	for id, u := range v.rows.unconfirmed {
		if now.After(u.until) {
			dropped = append(dropped, id)
			delete(v.unavailable, id)
			v.rows.recordDeparture(u.member)
		}
	}
	if len(dropped) > 0 {
		v.republish()
	}
	return dropped
}

// DepartedToRemove returns the nodes that had left before a restored store brought
// their rows back, and whose rows the node self is to remove now. The reachable
// nodes take turns in an order that all of them know, so that usually one of them
// removes a row. If the row is still there a whole turn later, it is due again.
func (v *View) DepartedToRemove(self model.NodeID, now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []Member
	turn := time.Duration(-1)
	for id, since := range v.rows.returned {
		if v.unavailable[id].state != model.Unreachable {
			delete(v.rows.returned, id) // it has responded, so it has not left
			continue
		}
		if turn < 0 {
			turn = time.Duration(v.rank(self)) * removalStagger
		}
		if now.Sub(since) >= DepartedAfter+turn {
			due = append(due, v.current.Load().registered[id])
			v.rows.returned[id] = now
		}
	}
	return due
}

// rank returns the number of reachable nodes that remove rows before the node id.
// The mutex is held.
func (v *View) rank(id model.NodeID) int {
	own, before := xxhash.Sum64String(string(id)), 0
	for other := range v.current.Load().registered {
		if v.unavailable[other].state != model.Unreachable && xxhash.Sum64String(string(other)) < own {
			before++
		}
	}
	return before
}
