package gossip

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/jsonlist"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/relay"
)

// pathStates is the path of messages with states that the receiving node applies
// and forwards to the nodes of its zone.
const pathStates = "/v1/states"

// State reports whether a node accepts calls.
type State struct {
	Node    model.NodeID `json:"node"`
	Serving bool         `json:"serving"`
	// Software is the version of the upstream's software. It is left out if it is not
	// known, and by nodes of earlier releases.
	Software string `json:"software,omitempty"`
	// Started and Sequence order the states of a node, as in a Digest.
	Started  int64  `json:"started"`
	Sequence uint64 `json:"sequence"`
}

// maxAnnounceTries is how many nodes of a zone are tried until one accepts a
// state to forward. Each try may take messageTimeout, so Announce may take three
// times as long for a zone. Nodes that miss the state get it from a refusal or
// from a digest.
const maxAnnounceTries = 3

const (
	// maxStatesBytes bounds a message with states, in bytes. The states of 2,800 nodes
	// have 300 KB.
	maxStatesBytes = 1 << 20
	// maxUnknownNodes is the number of nodes outside the fleet whose states are kept:
	// the state of a node may arrive before its row.
	maxUnknownNodes = 1024
)

// Announce sends the state of this node to all nodes: by datagrams to those of
// its zone, and by a message to one node of each other zone, which forwards it.
// It blocks until each message was delivered or has failed; RunBeacons sends the
// datagrams. A node that misses the state gets it from a refusal or from a
// digest.
func (n *Node) Announce(ctx context.Context) {
	s := n.ownState()
	n.forwardStates([]State{s})
	var zones []fleet.Member // one member for each other zone
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

// ownState returns the state of this node.
func (n *Node) ownState() State {
	s := State{Node: n.Self.Node, Serving: n.Serving(), Started: n.startNanos, Sequence: n.sequence.Add(1)}
	if n.Software != nil {
		s.Software = n.Software()
	}
	return s
}

// remoteZones returns the reachable nodes of the other zones, in the order in
// which they become relays.
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

// forwardStates sends states to the nodes of this zone, together with other
// states that arrive within stateBatchDelay.
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
	states, err := n.readStates(c)
	if err != nil {
		n.Log.Warn("states of other nodes are invalid", zap.String("remote", c.RealIP()), zap.Error(err))
		return c.NoContent(http.StatusBadRequest)
	}
	n.applyStates(states)
	n.forwardStates(states)
	return c.NoContent(http.StatusNoContent)
}

// readStates reads a list of states. Those that cannot be used are left out; a list
// in which there is no other one is invalid.
func (n *Node) readStates(c echo.Context) ([]State, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxStatesBytes))
	if err != nil {
		return nil, err
	}
	var lastErr error
	ignored := n.logIgnored("")
	states, err := jsonlist.Decode(body, checkState, func(err error) {
		lastErr = err
		ignored(err)
	})
	if err == nil && len(states) == 0 {
		err = lastErr
	}
	return states, err
}

// applyStates applies the states of other nodes, except those that are older
// than the last one of the same node.
func (n *Node) applyStates(states []State) {
	now := time.Now()
	for _, s := range states {
		if s.Node == "" || s.Node == n.Self.Node || !n.recordIfNewer(s, now) {
			continue
		}
		n.View.SetSoftware(s.Node, s.Software)
		if n.View.SetServing(s.Node, s.Serving, now) {
			n.Log.Info("node is reachable again", zap.String("other", string(s.Node)), zap.Bool("serving", s.Serving))
		}
	}
}

// recordIfNewer records a state as the last one of its node and returns true,
// unless a newer one is known.
func (n *Node) recordIfNewer(s State, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last, ok := n.lastStates[s.Node]
	if ok && !last.olderThan(&s, now) {
		return false
	}
	if !ok && len(n.lastStates) >= len(n.View.Current().Members)+maxUnknownNodes {
		return false
	}
	n.lastStates[s.Node] = stateOrder{s.Started, s.Sequence, now, s.Software, s.Serving}
	return true
}
