package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// TakeoverTime is how long a coordinator may be silent before the next node takes its
	// place.
	TakeoverTime = 1500 * time.Millisecond
	// listeners is the number of nodes that get the counts: the coordinator and the one
	// that takes its place.
	listeners = 2
)

// Coordinators returns the nodes beside old and new upstreams in the order in which they
// coordinate the rollout of an order: by rendezvous hashing, a few old ones first, because
// new ones join meanwhile, and then as many new ones, because old ones may end together
// when the rollout is completed. It does not change its arguments.
func Coordinators(o Order, old, fresh []model.NodeID) []model.NodeID {
	const group = 3
	weight := func(id model.NodeID) uint64 { return xxhash.Sum64String(o.Key() + "\x00" + string(id)) }
	byWeight := func(a, b model.NodeID) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) }
	old, fresh = slices.SortedFunc(slices.Values(old), byWeight), slices.SortedFunc(slices.Values(fresh), byWeight)
	n, m := min(len(old), group), min(len(fresh), group)
	return slices.Concat(old[:n], fresh[:m], old[n:], fresh[m:])
}

// Turn reports whether the node at a place in the order of the coordinators acts, if
// nothing was heard of another one for some time. Two nodes that act at the same time do
// no harm.
func Turn(place int, silence time.Duration) bool {
	return place >= 0 && silence >= time.Duration(place)*TakeoverTime
}

// Listeners returns the coordinators that get the counts: the first two, and one more for
// each TakeoverTime of silence.
func Listeners(coordinators []model.NodeID, silence time.Duration) []model.NodeID {
	return coordinators[:min(len(coordinators), listeners+int(silence/TakeoverTime))]
}

// InterleaveZones returns the nodes in an order in which neighbours are in different
// availability zones, as far as possible, so that a zone with a fault holds few of any
// part of them.
func InterleaveZones(nodes []model.UpstreamNode) []model.NodeID {
	zones := make(map[model.AvailabilityZone][]model.NodeID)
	var names []model.AvailabilityZone
	for _, n := range nodes {
		z := n.Location.AvailabilityZone
		if zones[z] == nil {
			names = append(names, z)
		}
		zones[z] = append(zones[z], n.Node)
	}
	slices.Sort(names)
	var ids []model.NodeID
	for round := 0; len(ids) < len(nodes); round++ {
		for _, z := range names {
			if round < len(zones[z]) {
				ids = append(ids, zones[z][round])
			}
		}
	}
	return ids
}
