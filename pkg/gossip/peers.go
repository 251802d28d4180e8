package gossip

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/fleet"
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
	if n.storeAway.Load() {
		share = remoteShareAway
	}
	anywhere := rand.IntN(share) == 0
	var near, any choice
	for id, m := range n.View.Current().Members {
		if id == n.Self.Node || n.View.IsUnreachable(id) {
			continue
		}
		any.add(m)
		if m.Location.Region == n.Self.Location.Region {
			near.add(m)
		}
	}
	if anywhere || near.seen == 0 {
		return any.member, any.seen > 0
	}
	return near.member, true
}

// choice is one member of those added, each with the same chance.
type choice struct {
	member fleet.Member
	seen   int
}

func (c *choice) add(m fleet.Member) {
	if c.seen++; rand.IntN(c.seen) == 0 {
		c.member = m
	}
}

// others returns all other nodes, those that cannot be reached last: each of
// them holds a place for as long as a connection may take.
func (n *Node) others() []fleet.Member {
	var reachable, rest []fleet.Member
	for id, m := range n.View.Current().Members {
		switch {
		case id == n.Self.Node:
		case n.View.IsUnreachable(id):
			rest = append(rest, m)
		default:
			reachable = append(reachable, m)
		}
	}
	return append(reachable, rest...)
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
