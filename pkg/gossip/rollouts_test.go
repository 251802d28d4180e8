package gossip

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

// rolloutPeers returns peers in zones that know each other and read datagrams, after prepare
// was called for each.
func rolloutPeers(t *testing.T, prepare func(i int, p *peer), zones ...model.AvailabilityZone) []*peer {
	t.Helper()
	var peers []*peer
	var members []fleet.Member
	for i, zone := range zones {
		p := newPeer(t, string(rune('a'+i)))
		p.Self.Location.AvailabilityZone = zone
		p.Rollouts = rollout.NewTable(5 * time.Second)
		if prepare != nil {
			prepare(i, p)
		}
		peers, members = append(peers, p), append(members, p.Self)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, p := range peers {
		p.View.Replace(members, follow.At(1), time.Now())
		go func() { _ = p.ReadDatagrams(ctx) }()
	}
	return peers
}

func canary(sequence uint64) []rollout.State {
	return []rollout.State{{Service: "s", To: "v2", From: "v1", Within: 12000, At: follow.At(7), Phase: rollout.Canary, Share: 0.05, Sequence: sequence}}
}

func awaitPhase(t *testing.T, p *peer, phase rollout.Phase) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if v := p.Rollouts.Current().Of("s"); v != nil && v.Phase == phase {
			return
		}
	}
	t.Fatalf("node %s does not know the phase %s", p.Self.Node, phase)
}

// Guards against nodes that do not learn of a rollout: in the zone of the coordinator, in
// other zones, and behind the node to which the state was sent there.
func TestRolloutStatesReachAllNodes(t *testing.T) {
	is := is.New(t)
	var told atomic.Int32
	counted := make(chan rollout.Counts, 1)
	peers := rolloutPeers(t, func(i int, p *peer) {
		switch i {
		case 3:
			p.OnCounts = func(c rollout.Counts) { counted <- c }
		case 5:
			p.OnRollouts = func(fresh []rollout.State, _ model.NodeID) { told.Add(int32(len(fresh))) }
		}
	}, "x", "x", "y", "y", "y", "y")
	peers[0].SpreadRollouts(peers[0].Rollouts.Merge(canary(1), time.Now()))
	for _, p := range peers[1:] {
		awaitPhase(t, p, rollout.Canary)
	}
	is.Equal(told.Load(), int32(1)) // although two nodes of the zone have forwarded it

	peers[0].SendCounts(rollout.Counts{Node: "a", Service: "s", At: follow.At(7), Routes: []rollout.RouteCounts{{Route: "r", Requests: 3}}}, []model.NodeID{"d", "a", "gone"})
	c := <-counted
	is.Equal(c.Routes[0].Requests, uint64(3))
}

// Guards against a node that has missed a state for good: all datagrams with it were lost.
func TestMissedRolloutStateIsRepaired(t *testing.T) {
	peers := rolloutPeers(t, nil, "x", "x")
	peers[0].Rollouts.Merge(canary(1), time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = peers[0].RunBeacons(ctx) }()
	awaitPhase(t, peers[1], rollout.Canary)

	third := newPeer(t, "z") // which asks others what they hold when it starts
	third.Rollouts = rollout.NewTable(5 * time.Second)
	third.View.Replace([]fleet.Member{third.Self, peers[0].Self}, follow.At(2), time.Now())
	third.Recover(ctx)
	awaitPhase(t, third, rollout.Canary)
}

// Guards against an odd entry of a message that costs the others, and against versions of
// upstreams that nodes do not learn.
func TestVersionsOfUpstreamsTravelWithStates(t *testing.T) {
	is := is.New(t)
	peers := rolloutPeers(t, func(i int, p *peer) {
		if i == 0 {
			p.Software = func() string { return "v2" }
		}
	}, "x", "x")
	peers[0].Rollouts.Merge(canary(1), time.Now())
	peers[1].syncWith(t.Context(), peers[0].Self)
	is.Equal(peers[1].View.Current().UpstreamNodes("s")[0].Software, "v2")
	awaitPhase(t, peers[1], rollout.Canary)

	var d Datagram
	text := `{"from":"a","rollout_states":[{"service":"s","phase":"odd"},7,{"service":"t","from":"v1"}],"states":[{"node":"q","serving":true}]}`
	is.NoErr(peers[1].decodeDatagram([]byte(text), &d))
	is.Equal(len(d.Rollouts), 1)
	is.Equal(len(d.States), 1)
	is.True(peers[1].decodeDatagram([]byte(`{"from":"a","counts":{"node":"a","service":"s","running":-1}}`), &d) != nil)
}
