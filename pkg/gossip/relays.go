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
type rankedNodes struct {
	snapshot *fleet.Snapshot
	ids      []model.NodeID
	members  []fleet.Member // without this node
}

// zoneOf returns the ranked nodes of the zone. The mutex is held.
func (n *Node) reachableZone() *rankedNodes {
	s := n.View.Current()
	if n.zoneNodes.snapshot == s {
		return &n.zoneNodes
	}
	r := rankedNodes{snapshot: s}
	ids := []model.NodeID{n.Self.Node}
	for id, m := range s.Members {
		if id == n.Self.Node || m.Location.AvailabilityZone != n.Self.Location.AvailabilityZone || n.View.IsUnreachable(id) {
			continue
		}
		ids = append(ids, id)
		r.members = append(r.members, m)
	}
	r.ids = relay.Order(ids)
	n.zoneNodes = r
	return &n.zoneNodes
}

func (n *Node) clock() time.Duration { return time.Since(n.startTime) }

// Relays reports whether this node follows the store for its zone, and whether
// it is the first to do so. next is how long that holds without a further
// message; 0 if it does not change by itself.
func (n *Node) RelayRole() (isRelay, first bool, validFor time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	relays, validFor := n.zone.Relays(n.reachableZone().ids, n.clock())
	at := slices.Index(relays, n.Self.Node)
	return at >= 0, at == 0 || at > 0 && len(relays) > relay.PerZone, validFor
}

// neighbours returns the other nodes of the availability zone that can be
// reached.
func (n *Node) zonePeers() []fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reachableZone().members
}

// served reports whether a relay whose store answers was heard a moment ago.
func (n *Node) hasHealthyRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zone.HasHealthyRelay(n.clock())
}

const (
	// turnPoll bounds the wait between two looks at the relays of the zone.
	pollInterval = 150 * time.Millisecond
	// turnJitter spreads the reads of nodes that hear no relay.
	maxReadJitter = 400 * time.Millisecond
	// outagePatience multiplies the patience while relays live and the store
	// answers none of them: it is probably away. Other zones may have something
	// newer all the same; their calls and digests tell.
	outageFactor = 4
	// behindTime is how long a node knows of something newer that it does not
	// get from others before it reads the store.
	maxLag = time.Second
)

// Turns says when this node reads one kind of state from the store. It
// implements follow.Turns.
type Schedule struct {
	node *Node
	// known reports whether a first state is there; without it the node reads
	// at once. nil stands for a state that comes from relays at a start too.
	hasState func() bool
	lag      *lag
	// firstOnly lets only the first relay follow.
	firstOnly bool
	// patience is how long no relay may be heard before the node reads itself.
	relayTimeout time.Duration
	lastRead     time.Duration // last read out of turn
	fleetUnknown bool          // the fleet is not known
}

// ConfigTurns returns when the configuration is read. A node that starts
// again reads at once, because callers wait for it; when the whole deployment
// starts for the first time the relays do it.
func (n *Node) ConfigSchedule(firstStart bool) *Schedule {
	s := &Schedule{node: n, lag: &n.configLag, relayTimeout: relay.BeaconTimeout + rand.N(maxReadJitter)}
	if !firstStart {
		s.hasState = func() bool { return n.Config.Current() != nil }
	}
	return s
}

// FleetTurns returns when the rows of nodes are read. A new VM need not be
// used at once, so one relay of a zone is enough.
func (n *Node) FleetSchedule() *Schedule {
	return &Schedule{node: n, lag: &n.fleetLag, hasState: n.View.Loaded, firstOnly: true, relayTimeout: fleetLagTimeout + rand.N(fleetLagTimeout)}
}

// Next implements follow.Turns.
func (s *Schedule) Next(ctx context.Context) (follows bool) {
	for ctx.Err() == nil {
		if s.hasState != nil && !s.hasState() {
			return false
		}
		isRelay, first, validFor := s.node.RelayRole()
		switch {
		case !s.node.View.Loaded(): // without the fleet it knows no relay but itself
			s.fleetUnknown = true
			validFor = s.lastRead + s.relayTimeout + fleetLagTimeout - s.node.clock()
		case s.fleetUnknown: // relays are heard from now on
			s.fleetUnknown, s.lastRead = false, s.node.clock()
			continue
		case isRelay && (first || !s.firstOnly):
			return true
		}
		wait := validFor
		if !s.fleetUnknown {
			wait = s.untilRead(time.Now())
		}
		if wait <= 0 {
			s.lastRead = s.node.clock()
			return false
		}
		if validFor > 0 {
			wait = min(wait, validFor)
		}
		timer := time.NewTimer(min(wait, pollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return false
}

// due returns the time until a read out of turn.
func (s *Schedule) untilRead(now time.Time) time.Duration {
	n := s.node
	n.mu.Lock()
	lastHealthy, storeOutage := n.zone.LastHealthy(), n.zone.StoreUnavailable(n.clock())
	n.mu.Unlock()
	timeout := s.relayTimeout
	if storeOutage {
		timeout *= outageFactor
	}
	wait := max(lastHealthy, s.lastRead) + timeout - n.clock()
	if behindFor := s.lag.duration(now); behindFor > 0 {
		wait = min(wait, max(maxLag-behindFor, s.lastRead+s.relayTimeout-n.clock()))
	}
	return wait
}
