package gossip

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// pathStates takes states that are passed on to the nodes of the zone.
const pathStates = "/v1/states"

// State says whether a node takes work.
type State struct {
	Node    model.NodeID `json:"node"`
	Serving bool         `json:"serving"`
	// Started and Sequence order the states of a node, as in a Digest.
	Started  int64  `json:"started"`
	Sequence uint64 `json:"sequence"`
}

// announceTries is how many nodes of a zone are asked to pass a state on.
const maxAnnounceTries = 3

// Announce tells all nodes whether this node takes work: those of its zone by
// datagrams, and one node of each other zone, which passes it on. Who misses it
// learns from a refusal, or asks again.
func (n *Node) Announce(ctx context.Context) {
	s := State{Node: n.Self.Node, Serving: n.Serving(), Started: n.startNanos, Sequence: n.sequence.Add(1)}
	n.forwardStates([]State{s})
	var zones []fleet.Member // one of each other zone stands for it
	membersByZone := n.remoteZones()
	for _, members := range membersByZone {
		zones = append(zones, members[0])
	}
	forEach(zones, func(first fleet.Member) {
		members := membersByZone[first.Location.AvailabilityZone]
		for _, m := range members[:min(len(members), maxAnnounceTries)] {
			err := n.post(ctx, m, pathStates, []State{s}, nil)
			if err == nil {
				return
			}
			n.handleSendError(m, err)
		}
	})
}

// zones returns the nodes of the other zones that can be reached, in the order
// in which they become relays.
func (n *Node) remoteZones() map[model.AvailabilityZone][]fleet.Member {
	reachable, _ := n.byReachability()
	byNode := make(map[model.NodeID]fleet.Member, len(reachable))
	ids := make(map[model.AvailabilityZone][]model.NodeID)
	for _, m := range reachable {
		if z := m.Location.AvailabilityZone; z != n.Self.Location.AvailabilityZone {
			byNode[m.Node] = m
			ids[z] = append(ids[z], m.Node)
		}
	}
	zones := make(map[model.AvailabilityZone][]fleet.Member, len(ids))
	for z, members := range ids {
		for _, id := range relay.Order(members) {
			zones[z] = append(zones[z], byNode[id])
		}
	}
	return zones
}

// passOn sends states to the nodes of this zone, together with others that
// come within statesPause.
func (n *Node) forwardStates(states []State) {
	n.mu.Lock()
	first := len(n.pendingStates) == 0
	n.pendingStates = append(n.pendingStates, states...)
	n.mu.Unlock()
	if first {
		time.AfterFunc(stateBatchDelay, n.TriggerBeacon)
	}
}

func (n *Node) handleStates(c echo.Context) error {
	var states []State
	if err := readMessage(c, &states); err != nil {
		n.Log.Warn("states of other nodes cannot be used", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.applyStates(states)
	n.forwardStates(states)
	return c.NoContent(http.StatusNoContent)
}

// learnStates takes what nodes say about themselves, unless something newer of
// them came first.
func (n *Node) applyStates(states []State) {
	now := time.Now()
	for _, s := range states {
		if s.Node == "" || s.Node == n.Self.Node || !n.recordIfNewer(s, now) {
			continue
		}
		if n.View.SetServing(s.Node, s.Serving, now) {
			n.Log.Info("node is reachable again", zap.String("other", string(s.Node)), zap.Bool("serving", s.Serving))
		}
	}
}

// isNewer notes a state and reports whether nothing newer of its node was known.
func (n *Node) recordIfNewer(s State, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last, ok := n.lastStates[s.Node]
	if ok && !last.olderThan(&s, now) {
		return false
	}
	n.lastStates[s.Node] = stateOrder{s.Started, s.Sequence, now}
	return true
}
