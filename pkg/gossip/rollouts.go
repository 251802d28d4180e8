package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

// States of rollouts travel in datagrams: to the zone of their sender, and to the first
// nodes of each other zone, which forward what is new to them. Coordinators repeat their
// states. Whatever is lost is noticed by the digests in beacons and in messages.
const (
	// rolloutForwarders is the number of nodes of another zone that get the state of a
	// rollout. Datagrams may be lost, and nodes may be frozen.
	rolloutForwarders = 2
	// rolloutGrace is how long a node leaves what a relay knows of rollouts and it does not
	// to datagrams that are under way, and rolloutSyncInterval the time between two
	// requests for it.
	rolloutGrace        = 250 * time.Millisecond
	rolloutSyncInterval = time.Second
	// routesPerCounts keeps a datagram with counts below maxDatagramBytes. A route has up to
	// 100 bytes, and service times of 10 buckets usually.
	routesPerCounts = 6
)

// rolloutLag is what a node knows of relays that know something else of rollouts. It is
// protected by Node.mu.
type rolloutLag struct {
	since    time.Time // when a beacon first showed another digest
	lastSync time.Time
}

func (n *Node) rolloutDigest() uint64 {
	if n.Rollouts == nil {
		return 0
	}
	return n.Rollouts.Current().Digest()
}

// rolloutStates returns what this node knows of rollouts.
func (n *Node) rolloutStates() []rollout.State {
	if n.Rollouts == nil {
		return nil
	}
	var states []rollout.State
	now := time.Now()
	for _, v := range n.Rollouts.Current().All() {
		states = append(states, v.Sent(now))
	}
	return states
}

// exceptionalStates returns the newest states of the nodes whose upstreams have a version
// that is not in use.
func (n *Node) exceptionalStates() (states []State) {
	if n.Rollouts == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.Rollouts.Current().All() {
		for _, u := range n.View.Current().UpstreamNodes(v.Service) {
			if last, ok := n.lastStates[u.Node]; ok && v.Exceptional(last.software) {
				states = append(states, State{Node: u.Node, Serving: last.serving, Software: last.software, Started: last.started, Sequence: last.sequence})
			}
		}
	}
	return states
}

// SpreadRollouts sends states of rollouts to all nodes.
func (n *Node) SpreadRollouts(states []rollout.State) {
	if len(states) == 0 {
		return
	}
	n.sendRollouts(states, false, n.zonePeers())
	for _, members := range n.remoteZones() {
		n.sendRollouts(states, true, members[:min(len(members), rolloutForwarders)])
	}
}

func (n *Node) sendRollouts(states []rollout.State, forwards bool, members []fleet.Member) {
	for _, s := range states {
		n.sendDatagramTo(&Datagram{From: n.Self.Node, Rollouts: []rollout.State{s}, Forwards: forwards}, members)
	}
}

// SendCounts sends the counts of this node's upstream to the coordinators of its rollout.
// Each message has a part of the routes.
func (n *Node) SendCounts(c rollout.Counts, to []model.NodeID) {
	var members []fleet.Member
	for _, id := range to {
		if m, ok := n.View.Current().Members[id]; ok && id != n.Self.Node {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return
	}
	all := c.Routes
	for first := true; first || len(all) > 0; first = false {
		count := min(len(all), routesPerCounts)
		part := c
		part.Routes, all = all[:count], all[count:]
		n.sendDatagramTo(&Datagram{From: n.Self.Node, Counts: &part}, members)
	}
}

// handleRollouts applies what a datagram says of rollouts.
func (n *Node) handleRollouts(d *Datagram) {
	if d.Counts != nil && n.OnCounts != nil {
		n.OnCounts(*d.Counts)
	}
	fresh := n.mergeRollouts(d.Rollouts, d.From)
	if d.Forwards {
		n.sendRollouts(fresh, false, n.zonePeers())
	}
}

// mergeRollouts adds what another node knows of rollouts, and returns what was new.
func (n *Node) mergeRollouts(states []rollout.State, from model.NodeID) []rollout.State {
	if n.Rollouts == nil || len(states) == 0 {
		return nil
	}
	fresh := n.Rollouts.Merge(states, time.Now())
	if len(fresh) > 0 && n.OnRollouts != nil {
		n.OnRollouts(fresh, from)
	}
	return fresh
}

// observeRolloutDigest requests what a relay knows of rollouts if that has been something
// else than this node knows for a while.
func (n *Node) observeRolloutDigest(from model.NodeID, digest uint64) {
	if n.Rollouts == nil {
		return
	}
	now := time.Now()
	n.mu.Lock()
	lag := &n.rolloutLag
	if digest == 0 || digest == n.rolloutDigest() {
		lag.since = time.Time{}
		n.mu.Unlock()
		return
	}
	if lag.since.IsZero() {
		lag.since = now
	}
	due := now.Sub(lag.since) >= rolloutGrace && now.Sub(lag.lastSync) >= rolloutSyncInterval
	if due {
		lag.lastSync = now
	}
	n.mu.Unlock()
	if m, ok := n.View.Current().Members[from]; ok && due {
		n.Guard.Go("fetch rollouts", func() { n.syncWith(context.Background(), m) })
	}
}

// AnnouncesRollouts reports whether this node tells other zones of orders that it has read
// from the store: the first relay of its zone does, or its first node if there are no
// relays.
func (n *Node) AnnouncesRollouts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if relays, _ := n.zone.Relays(n.reachableZone().ids, n.clock()); len(relays) > 0 {
		return slices.Index(relays, n.Self.Node) == 0
	}
	return true
}
