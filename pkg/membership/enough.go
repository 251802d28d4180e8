package membership

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// minZoneSources is the number of nodes of the own zone that a starting
// process has to hear while the store is down.
const minZoneSources = 3

// Sources says which nodes a starting process still has to ask.
type Sources struct {
	Missing string        // what is missing, in words; empty if the answers suffice
	Ask     []model.Entry // nodes that have not answered, most needed first
}

// Enough reports whether the answers of other nodes suffice to start without
// the store: the zone root, three nodes of the own zone (or all of them), the
// region root, and the root of another zone if there is one. Suspect nodes count
// as dead once they were asked in vain. A process that knows no other node has
// no source at all.
//
// The region root is asked because it is the ancestor of a process that was a
// zone root itself: right after a partition the root of a zone in another
// region may be behind it.
//
// asked has an entry for every node that was asked; its value says whether the
// node answered.
func (t *Tree) Enough(id model.NodeID, zone model.AvailabilityZone, asked map[model.NodeID]bool) Sources {
	t, answered := t.without(asked), asked
	var s Sources
	miss := func(text string, ask ...model.Entry) {
		if s.Missing == "" {
			s.Missing = text
		} else {
			s.Missing += "; " + text
		}
		s.Ask = append(s.Ask, ask...)
	}
	peers, heard := t.liveOthers(id, zone, answered)
	if len(peers) > 0 && !answered[peers[0].Node] {
		miss(fmt.Sprintf("zone root %s has not answered", peers[0].Node), peers[0])
	}
	if need := min(minZoneSources, len(peers)); heard < need {
		miss(fmt.Sprintf("%d of %d nodes of zone %s have answered", heard, need, zone), unanswered(peers, answered)...)
	}
	if root, ok := t.regionRoot(id, zone); ok && !answered[root.Node] {
		miss(fmt.Sprintf("region root %s has not answered", root.Node), root)
	}
	roots := t.otherRoots(zone)
	if len(roots) > 0 && len(unanswered(roots, answered)) == len(roots) {
		miss("no root of another zone has answered", roots...)
	}
	if len(peers) == 0 && len(roots) == 0 {
		miss("no other node is known")
	}
	return s
}

// without returns the tree of the entries that are not suspect or have not
// been asked in vain.
func (t *Tree) without(asked map[model.NodeID]bool) *Tree {
	live := make([]model.Entry, 0, len(t.entries))
	for _, e := range t.entries {
		answered, ok := asked[e.Node]
		if e.State != model.Suspect || !ok || answered {
			e.State = model.Ready // a suspicion alone does not count
			live = append(live, e)
		}
	}
	return NewTree(live)
}

// liveOthers returns the other nodes of a zone, oldest first, and how many of them have answered.
func (t *Tree) liveOthers(id model.NodeID, zone model.AvailabilityZone, answered map[model.NodeID]bool) ([]model.Entry, int) {
	var out []model.Entry
	heard := 0
	for _, e := range t.Zone(zone) {
		if e.Node == id {
			continue
		}
		out = append(out, e)
		if answered[e.Node] {
			heard++
		}
	}
	return out, heard
}

// regionRoot returns the oldest zone root, other than id, of the region of a
// zone.
func (t *Tree) regionRoot(id model.NodeID, zone model.AvailabilityZone) (model.Entry, bool) {
	if len(t.zones[zone]) == 0 {
		return model.Entry{}, false
	}
	for _, i := range t.regionOf(t.zones[zone][0]).roots {
		if t.entries[i].Node != id {
			return t.entries[i], true
		}
	}
	return model.Entry{}, false
}

func (t *Tree) otherRoots(zone model.AvailabilityZone) []model.Entry {
	var out []model.Entry
	for z := range t.zones {
		if z == zone {
			continue
		}
		if root, ok := t.ZoneRoot(z); ok {
			out = append(out, root)
		}
	}
	slices.SortFunc(out, func(a, b model.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func unanswered(in []model.Entry, answered map[model.NodeID]bool) []model.Entry {
	var out []model.Entry
	for _, e := range in {
		if !answered[e.Node] {
			out = append(out, e)
		}
	}
	return out
}
