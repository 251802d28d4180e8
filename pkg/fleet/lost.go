package fleet

import "time"

const (
	// LostAfter is how long a node must be unreachable before its row is
	// removed. A VM that restarts is back within a minute. The rest covers long
	// network partitions between regions, after which each removed row would
	// have to be written again.
	LostAfter = 5 * time.Minute
	// maxLostShare is the largest share of the fleet that may be unreachable for
	// rows to be removed. A node that cannot reach more than that is itself the
	// one that is disconnected.
	maxLostShare = 0.5
)

// NodesToRemove returns the nodes whose rows this node should remove now: those
// that have been unreachable for LostAfter. It returns none if more than
// maxLostShare of the fleet is unreachable. All nodes see the same ones
// unreachable, so each call returns them only with a probability of one divided
// by the number of reachable nodes. If every reachable node calls NodesToRemove
// once, about one of them gets the list. random is a random number in [0, 1).
// NodesToRemove is safe for concurrent use.
func (v *View) NodesToRemove(now time.Time, random float64) []Member {
	f := v.Current()
	nodes := len(f.Members)
	unreachable := len(v.unreachableFor(now, 0))
	if unreachable == 0 || float64(unreachable) > maxLostShare*float64(nodes) || random*float64(nodes-unreachable) >= 1 {
		return nil
	}
	var lost []Member
	for _, id := range v.unreachableFor(now, LostAfter) {
		if m, ok := f.Registered(id); ok {
			lost = append(lost, m)
		}
	}
	return lost
}
