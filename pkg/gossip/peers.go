package gossip

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// randomNode returns a random reachable node to exchange digests with. Nodes of
// other regions are selected rarely, because traffic between regions is paid by
// volume. They are selected more often while this node is isolated, because the
// other nodes of its region may miss the same versions.
func (n *Node) randomNode() (fleet.Member, bool) {
	const (
		anyRegionOneIn       = 8 // one in this many digests goes to any region
		anyRegionOneInOutage = 3 // the same while this node is isolated
	)
	oneIn := anyRegionOneIn
	if n.isolated() {
		oneIn = anyRegionOneInOutage
	}
	candidates, _ := n.byReachability()
	if rand.IntN(oneIn) != 0 {
		sameRegion := filter(candidates, func(l model.Location) bool { return l.Region == n.Self.Location.Region })
		if len(sameRegion) > 0 {
			candidates = sameRegion
		}
	}
	if len(candidates) == 0 {
		return fleet.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// filter returns the members whose location matches.
func filter(members []fleet.Member, match func(model.Location) bool) []fleet.Member {
	var matching []fleet.Member
	for _, m := range members {
		if match(m.Location) {
			matching = append(matching, m)
		}
	}
	return matching
}

// byReachability returns the reachable and the unreachable other nodes.
func (n *Node) byReachability() (reachable, unreachable []fleet.Member) {
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

// allOthers returns all other nodes, the unreachable ones last: a send to each
// of them may occupy one of maxParallelSends until the connection times out.
func (n *Node) allOthers() []fleet.Member {
	reachable, unreachable := n.byReachability()
	return append(reachable, unreachable...)
}

// sendToAll calls send for all other nodes, as forEach does.
func (n *Node) sendToAll(ctx context.Context, send func(context.Context, fleet.Member)) {
	forEach(n.allOthers(), func(m fleet.Member) { send(ctx, m) })
}

// forEach calls send for all members, at most maxParallelSends at the same
// time, and waits until all calls have returned.
func forEach(members []fleet.Member, send func(fleet.Member)) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxParallelSends)
	for _, m := range members {
		sem <- struct{}{}
		wg.Go(func() {
			send(m)
			<-sem
		})
	}
	wg.Wait()
}
