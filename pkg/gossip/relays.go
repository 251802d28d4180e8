package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// ranked is the nodes of the zone that can be reached, this one included, in
// the order in which they become relays, for one snapshot of the fleet.
type ranked struct {
	snapshot *fleet.Snapshot
	ids      []model.NodeID
	members  []fleet.Member // without this node
}

// zoneOf returns the ranked nodes of the zone. The mutex is held.
func (n *Node) zoneOf() *ranked {
	s := n.View.Current()
	if n.ranked.snapshot == s {
		return &n.ranked
	}
	r := ranked{snapshot: s}
	ids := []model.NodeID{n.Self.Node}
	for id, m := range s.Members {
		if id == n.Self.Node || m.Location.AvailabilityZone != n.Self.Location.AvailabilityZone || n.View.IsUnreachable(id) {
			continue
		}
		ids = append(ids, id)
		r.members = append(r.members, m)
	}
	r.ids = relay.Order(ids)
	n.ranked = r
	return &n.ranked
}

func (n *Node) clock() time.Duration { return time.Since(n.began) }

// Relays reports whether this node follows the store for its zone, and whether
// it is the first to do so. next is how long that holds without a further
// message; 0 if it does not change by itself.
func (n *Node) RelayRole() (one, first bool, next time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	relays, next := n.zone.Relays(n.zoneOf().ids, n.clock())
	at := slices.Index(relays, n.Self.Node)
	return at >= 0, at == 0 || at > 0 && len(relays) > relay.PerZone, next
}

// neighbours returns the other nodes of the availability zone that can be
// reached.
func (n *Node) neighbours() []fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zoneOf().members
}

// served reports whether a relay whose store answers was heard a moment ago.
func (n *Node) served() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zone.HasHealthyRelay(n.clock())
}

const (
	// turnPoll bounds the wait between two looks at the relays of the zone.
	turnPoll = 150 * time.Millisecond
	// turnJitter spreads the reads of nodes that hear no relay.
	turnJitter = 400 * time.Millisecond
	// outagePatience multiplies the patience while relays live and the store
	// answers none of them: it is probably away. Other zones may have something
	// newer all the same; their calls and digests tell.
	outagePatience = 4
	// behindTime is how long a node knows of something newer that it does not
	// get from others before it reads the store.
	behindTime = time.Second
)

// Turns says when this node reads one kind of state from the store. It
// implements follow.Turns.
type Schedule struct {
	node *Node
	// known reports whether a first state is there; without it the node reads
	// at once. nil stands for a state that comes from relays at a start too.
	known  func() bool
	behind *behind
	// firstOnly lets only the first relay follow.
	firstOnly bool
	// patience is how long no relay may be heard before the node reads itself.
	patience time.Duration
	last     time.Duration // last read out of turn
	alone    bool          // the fleet is not known
}

// ConfigTurns returns when the configuration is read. A node that starts
// again reads at once, because callers wait for it; when the whole deployment
// starts for the first time the relays do it.
func (n *Node) ConfigSchedule(firstStart bool) *Schedule {
	t := &Schedule{node: n, behind: &n.configBehind, patience: relay.BeaconTimeout + rand.N(turnJitter)}
	if !firstStart {
		t.known = func() bool { return n.Config.Current() != nil }
	}
	return t
}

// FleetTurns returns when the rows of nodes are read. A new VM need not be
// used at once, so one relay of a zone is enough.
func (n *Node) FleetSchedule() *Schedule {
	return &Schedule{node: n, behind: &n.fleetBehind, known: n.View.Loaded, firstOnly: true, patience: fleetTime + rand.N(fleetTime)}
}

// Next implements follow.Turns.
func (t *Schedule) Next(ctx context.Context) (follows bool) {
	for ctx.Err() == nil {
		if t.known != nil && !t.known() {
			return false
		}
		one, first, next := t.node.RelayRole()
		switch {
		case !t.node.View.Loaded(): // without the fleet it knows no relay but itself
			t.alone = true
			next = t.last + t.patience + fleetTime - t.node.clock()
		case t.alone: // relays are heard from now on
			t.alone, t.last = false, t.node.clock()
			continue
		case one && (first || !t.firstOnly):
			return true
		}
		wait := next
		if !t.alone {
			wait = t.due(time.Now())
		}
		if wait <= 0 {
			t.last = t.node.clock()
			return false
		}
		if next > 0 {
			wait = min(wait, next)
		}
		timer := time.NewTimer(min(wait, turnPoll))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return false
}

// due returns the time until a read out of turn.
func (t *Schedule) due(now time.Time) time.Duration {
	n := t.node
	n.mu.Lock()
	heard, turnedAway := n.zone.LastHealthy(), n.zone.StoreUnavailable(n.clock())
	n.mu.Unlock()
	patience := t.patience
	if turnedAway {
		patience *= outagePatience
	}
	wait := max(heard, t.last) + patience - n.clock()
	if since := t.behind.since(now); since > 0 {
		wait = min(wait, max(behindTime-since, t.last+t.patience-n.clock()))
	}
	return wait
}
