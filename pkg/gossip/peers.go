package gossip

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// random returns a node to ask. Nodes of other regions are asked rarely,
// because their bytes are paid by volume; more often while the store does not
// answer, for the other nodes of the region may lack the same.
func (n *Node) random() (fleet.Member, bool) {
	const (
		remoteShare     = 8 // one in so many digests goes to any region
		remoteShareAway = 3 // the same while the store does not answer
	)
	share := remoteShare
	if n.cutOff() {
		share = remoteShareAway
	}
	candidates, _ := n.split()
	if rand.IntN(share) != 0 {
		near := in(candidates, func(l model.Location) bool { return l.Region == n.Self.Location.Region })
		if len(near) > 0 {
			candidates = near
		}
	}
	if len(candidates) == 0 {
		return fleet.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// in returns the members at locations of a kind.
func in(members []fleet.Member, kind func(model.Location) bool) []fleet.Member {
	var some []fleet.Member
	for _, m := range members {
		if kind(m.Location) {
			some = append(some, m)
		}
	}
	return some
}

// split returns the other nodes by whether they can be reached.
func (n *Node) split() (reachable, unreachable []fleet.Member) {
	for id, m := range n.View.Current().Members {
		switch {
		case id == n.Self.Node:
		case n.View.IsUnreachable(id):
			unreachable = append(unreachable, m)
		default:
			reachable = append(reachable, m)
		}
	}
	return reachable, unreachable
}

// others returns all other nodes, those that cannot be reached last: each of
// them holds a place for as long as a connection may take.
func (n *Node) others() []fleet.Member {
	reachable, unreachable := n.split()
	return append(reachable, unreachable...)
}

// tell sends something to all other nodes.
func (n *Node) tell(ctx context.Context, send func(context.Context, fleet.Member)) {
	each(n.others(), func(m fleet.Member) { send(ctx, m) })
}

// each calls send for all members, a bounded number of them at a time.
func each(members []fleet.Member, send func(fleet.Member)) {
	var wait sync.WaitGroup
	places := make(chan struct{}, tellers)
	for _, m := range members {
		places <- struct{}{}
		wait.Go(func() {
			send(m)
			<-places
		})
	}
	wait.Wait()
}
