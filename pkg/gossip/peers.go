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
func (n *Node) randomNode() (fleet.Member, bool) {
	const (
		anyRegionOneIn       = 8 // one in so many digests goes to any region
		anyRegionOneInOutage = 3 // the same while the store does not answer
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

// in returns the members at locations of a kind.
func filter(members []fleet.Member, match func(model.Location) bool) []fleet.Member {
	var matching []fleet.Member
	for _, m := range members {
		if match(m.Location) {
			matching = append(matching, m)
		}
	}
	return matching
}

// split returns the other nodes by whether they can be reached.
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

// others returns all other nodes, those that cannot be reached last: each of
// them holds a place for as long as a connection may take.
func (n *Node) allOthers() []fleet.Member {
	reachable, unreachable := n.byReachability()
	return append(reachable, unreachable...)
}

// tell sends something to all other nodes.
func (n *Node) sendToAll(ctx context.Context, send func(context.Context, fleet.Member)) {
	forEach(n.allOthers(), func(m fleet.Member) { send(ctx, m) })
}

// each calls send for all members, a bounded number of them at a time.
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
