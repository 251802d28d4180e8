package catchup

import (
	"slices"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// maxPending bounds the number of newer versions that a tracker remembers. When
// there are more, the later ones count as known since the last of these.
const maxPending = 16

// Tracker records the versions that other nodes have and this node does not. It is
// safe for concurrent use. The zero value knows of none.
type Tracker struct {
	mu sync.Mutex
	// pending are the newer versions that are known, in ascending order.
	pending []pendingVersion
}

// pendingVersion is a version that this node does not have.
type pendingVersion struct {
	at        follow.Position
	firstSeen time.Time // when this node learned of it
	inForce   time.Time // since when another node has had it, as far as is known
	from      model.NodeID
}

// Observation says that another node has a version.
type Observation struct {
	At follow.Position
	// From is the node that has the version; empty if it is not known.
	From model.NodeID
	// Age is how long the version has been in force at some node, as far as the
	// sender knows.
	Age time.Duration
}

// Lag describes how far this node is behind.
type Lag struct {
	// Newest is the newest version that is known, and From a node that has it.
	Newest follow.Position
	From   model.NodeID
	// Known is for how long this node has known of a newer version, and Total for
	// how long another node has had one.
	Known, Total time.Duration
}

// Observe records an observation. own is the version of this node. It reports
// whether the version is later than own and than all that were known.
func (t *Tracker) Observe(o Observation, own follow.Position, now time.Time) bool {
	if !o.At.After(own) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	inForce := now.Add(-max(o.Age, 0))
	n := len(t.pending)
	switch {
	case n > 0 && !o.At.After(t.pending[n-1].at):
		if p := &t.pending[n-1]; p.at == o.At && inForce.Before(p.inForce) {
			p.inForce = inForce
		}
		return false
	case n == maxPending:
		p := &t.pending[n-1]
		p.at, p.from = o.At, o.From
	default:
		t.pending = append(t.pending, pendingVersion{at: o.At, firstSeen: now, inForce: inForce, from: o.From})
	}
	return true
}

// CaughtUp records the version that this node has now, and returns the lag that
// ended with it. It is zero if no other node was known to have one of the
// versions up to own. A comparison with another node that lags too does not end a
// lag.
func (t *Tracker) CaughtUp(own follow.Position, now time.Time) Lag {
	t.mu.Lock()
	defer t.mu.Unlock()
	reached := 0
	for reached < len(t.pending) && !t.pending[reached].at.After(own) {
		reached++
	}
	if reached == 0 {
		return Lag{}
	}
	ended := lagOf(t.pending[:reached], now)
	t.pending = slices.Clone(t.pending[reached:])
	return ended
}

// Lag returns how far this node is behind; it is zero if nothing newer is known.
func (t *Tracker) Lag(now time.Time) Lag {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lagOf(t.pending, now)
}

func lagOf(pending []pendingVersion, now time.Time) Lag {
	if len(pending) == 0 {
		return Lag{}
	}
	newest := &pending[len(pending)-1]
	return Lag{Newest: newest.at, From: newest.from, Known: now.Sub(pending[0].firstSeen), Total: now.Sub(pending[0].inForce)}
}

// Active reports whether something newer is known.
func (l Lag) Active() bool { return l.Newest != follow.Position{} }
