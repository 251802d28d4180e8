package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/catchup"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// rankedNodes holds the reachable nodes of the zone, including this one, in the
// order in which they become relays. It is valid for one snapshot of the fleet.
type rankedNodes struct {
	snapshot *fleet.Snapshot
	ids      []model.NodeID
	members  []fleet.Member // the same nodes without this one
}

// reachableZone returns the ranked nodes of the zone. n.mu must be held.
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
	}
	r.ids = relay.Order(ids)
	for _, id := range r.ids {
		if id != n.Self.Node {
			r.members = append(r.members, s.Members[id])
		}
	}
	n.zoneNodes = r
	return &n.zoneNodes
}

// clock returns the monotonic time since Init.
func (n *Node) clock() time.Duration { return time.Since(n.startTime) }

// RelayRole reports whether this node is a relay of its zone and whether it is
// the first one. If more than relay.PerZone nodes follow the store, each of them
// counts as the first. validFor is how long the result is valid if no further
// beacon arrives; 0 means that it does not change without one.
func (n *Node) RelayRole() (isRelay, first bool, validFor time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	relays, validFor := n.zone.Relays(n.reachableZone().ids, n.clock())
	at := slices.Index(relays, n.Self.Node)
	return at >= 0, at == 0 || at > 0 && len(relays) > relay.PerZone, validFor
}

// zonePeers returns the other reachable nodes of the availability zone, in the order
// in which they become relays.
func (n *Node) zonePeers() []fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reachableZone().members
}

// hasHealthyRelay reports whether a beacon of a relay with an available store
// was received recently.
func (n *Node) hasHealthyRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zone.HasHealthyRelay(n.clock())
}

const (
	// pollInterval bounds the time between two checks of the relays of the zone.
	pollInterval = 150 * time.Millisecond
	// maxReadJitter spreads the reads of nodes that receive no beacons.
	maxReadJitter = 400 * time.Millisecond
	// outageFactor multiplies the relay timeout while beacons arrive but the store
	// responds to none of the relays: the store is probably unavailable. Newer
	// versions that other zones have are then detected by calls and digests from
	// those zones.
	outageFactor = 4
	// maxLag is how long a newer version may be known and not be received from
	// other nodes before the node reads the store.
	maxLag = time.Second
)

// Schedule decides when this node reads one kind of state, the configuration or
// the fleet, from the store. It implements follow.Schedule. It must not be used
// by several goroutines at the same time.
type Schedule struct {
	node *Node
	// hasState reports whether the node has any state; without one it reads the
	// store at once. If it is nil, the relays supply the first state too.
	hasState func() bool
	lag      *catchup.Tracker
	// firstOnly reports whether only the first relay follows the store.
	firstOnly func() bool
	// checksSilence means that the node reads the store when it is suspected to be
	// silent to others, and may follow it in place of a relay.
	checksSilence bool
	// relayTimeout is the time without a beacon of a relay with an available store
	// after which the node reads the store itself.
	relayTimeout time.Duration
	// lastRead is the time, as returned by Node.clock, of the last read by this
	// node while it was no relay, or of the first load of the fleet if that was
	// later.
	lastRead     time.Duration
	fleetUnknown bool // no fleet was loaded at the last check
}

// ConfigSchedule returns the schedule for the configuration. In a fleet of several
// zones one relay of each follows it. A node that
// restarts reads it at once, because callers wait for the node. On the first
// start of the whole deployment (firstStart) only the relays read it.
func (n *Node) ConfigSchedule(firstStart bool) *Schedule {
	s := &Schedule{
		node: n, lag: &n.configLag, relayTimeout: relay.BeaconTimeout + rand.N(maxReadJitter), checksSilence: true,
		firstOnly: func() bool { return n.hasRelays() && n.zoneCount() >= minZonesForOneFollower },
	}
	if !firstStart {
		s.hasState = func() bool { return n.Config.Current() != nil }
	}
	return s
}

// FleetSchedule returns the schedule for the fleet. A new VM need not be used
// at once, so one relay per zone is enough.
func (n *Node) FleetSchedule() *Schedule {
	return &Schedule{node: n, lag: &n.fleetLag, hasState: n.View.Loaded, firstOnly: func() bool { return true }, relayTimeout: fleetLagTimeout + rand.N(fleetLagTimeout)}
}

// Next implements follow.Schedule.
func (s *Schedule) Next(ctx context.Context) (follows bool) {
	for ctx.Err() == nil {
		if s.hasState != nil && !s.hasState() {
			return false
		}
		isRelay, first, validFor := s.node.RelayRole()
		switch {
		case !s.node.View.Loaded(): // no other relay can be determined; the read is due fleetLagTimeout later
			s.fleetUnknown = true
			validFor = s.lastRead + s.relayTimeout + fleetLagTimeout - s.node.clock()
		case s.fleetUnknown: // beacons can be attributed from now on
			s.fleetUnknown, s.lastRead = false, s.node.clock()
			continue
		case isRelay && (first || !s.firstOnly()):
			return true
		case s.checksSilence && s.node.silence.readDue.Swap(false):
			s.lastRead = s.node.clock()
			return false
		case s.checksSilence && s.node.standsIn():
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

// untilRead returns the time until a node that does not follow the store reads
// it; at most 0 if the read is due.
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
	if behindFor := s.lag.Lag(now).Known; behindFor > 0 {
		wait = min(wait, max(maxLag-behindFor, s.lastRead+s.relayTimeout-n.clock()))
	}
	return wait
}
