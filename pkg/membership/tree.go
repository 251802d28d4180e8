package membership

import (
	"cmp"
	"slices"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// FanOut is the number of children that a position in a zone has. The control
// bytes of a relay grow with it; see section 6.1 of the design page.
const FanOut = 8

// Tree is the distribution tree that follows from one set of live entries. It
// is immutable.
type Tree struct {
	entries []model.Entry
	zones   map[model.AvailabilityZone][]int // indexes into entries, oldest first
	at      map[model.NodeID]position
	regions []region // oldest region root first
	top     int      // the publisher, else the oldest region root; -1 if empty
}

type position struct{ entry, index int }

type region struct {
	name  model.Region
	roots []int // zone roots, oldest first; the first one is the region root
}

// NewTree computes the positions of entries, which must not contain gone ones.
// Suspect entries keep their positions, so that a wrong suspicion moves nobody.
func NewTree(entries []model.Entry) *Tree {
	t := &Tree{
		entries: entries,
		zones:   make(map[model.AvailabilityZone][]int),
		at:      make(map[model.NodeID]position, len(entries)),
		top:     -1,
	}
	for i := range entries {
		z := entries[i].Location.AvailabilityZone
		t.zones[z] = append(t.zones[z], i)
	}
	for _, members := range t.zones {
		slices.SortFunc(members, t.older)
		for i, m := range members {
			t.at[entries[m].Node] = position{entry: m, index: i}
		}
	}
	t.findRoots()
	t.findTop()
	return t
}

func (t *Tree) older(a, b int) int {
	if c := cmp.Compare(t.entries[a].Generation, t.entries[b].Generation); c != 0 {
		return c
	}
	return cmp.Compare(t.entries[a].Node, t.entries[b].Node)
}

func (t *Tree) findRoots() {
	byRegion := make(map[model.Region][]int)
	for _, members := range t.zones {
		r := t.entries[members[0]].Location.Region
		byRegion[r] = append(byRegion[r], members[0])
	}
	for name, roots := range byRegion {
		slices.SortFunc(roots, t.older)
		t.regions = append(t.regions, region{name: name, roots: roots})
	}
	slices.SortFunc(t.regions, func(a, b region) int { return t.older(a.roots[0], b.roots[0]) })
}

// findTop chooses the publisher, else the oldest region root. A suspect one is
// passed over at once: a successor may already hold the publisher lease, and a
// partitioned region must find a root of its own.
func (t *Tree) findTop() {
	for i := range t.entries {
		e := &t.entries[i]
		if !e.Publisher || e.State == model.Suspect {
			continue
		}
		if t.top < 0 || t.older(t.top, i) < 0 {
			t.top = i
		}
	}
	for _, r := range t.regions {
		if root := r.roots[0]; t.top < 0 && t.entries[root].State != model.Suspect {
			t.top = root
		}
	}
	if t.top < 0 && len(t.regions) > 0 {
		t.top = t.regions[0].roots[0]
	}
}

// Entry returns the live entry of a node.
func (t *Tree) Entry(id model.NodeID) (model.Entry, bool) {
	p, ok := t.at[id]
	if !ok {
		return model.Entry{}, false
	}
	return t.entries[p.entry], true
}

// Top returns the node that has no parent: the publisher, or the oldest region
// root while no publisher is known.
func (t *Tree) Top() (model.NodeID, bool) {
	if t.top < 0 {
		return "", false
	}
	return t.entries[t.top].Node, true
}

// IsZoneRoot reports whether the node is the oldest of its availability zone.
func (t *Tree) IsZoneRoot(id model.NodeID) bool {
	p, ok := t.at[id]
	return ok && p.index == 0
}

// IsRegionRoot reports whether the node is the oldest zone root of its region.
func (t *Tree) IsRegionRoot(id model.NodeID) bool {
	p, ok := t.at[id]
	return ok && p.index == 0 && t.regionOf(p.entry).roots[0] == p.entry
}

func (t *Tree) regionOf(entry int) *region {
	for i := range t.regions {
		if t.regions[i].name == t.entries[entry].Location.Region {
			return &t.regions[i]
		}
	}
	return &region{}
}

// ZoneRoot returns the oldest entry of a zone that is not suspect, or the
// oldest one if all are.
func (t *Tree) ZoneRoot(z model.AvailabilityZone) (model.Entry, bool) {
	members := t.zones[z]
	for _, m := range members {
		if t.entries[m].State != model.Suspect {
			return t.entries[m], true
		}
	}
	if len(members) == 0 {
		return model.Entry{}, false
	}
	return t.entries[members[0]], true
}

// Zone returns the live entries of a zone, oldest first.
func (t *Tree) Zone(z model.AvailabilityZone) []model.Entry {
	return t.list(t.zones[z])
}

// RegionRoots returns the region roots, oldest first.
func (t *Tree) RegionRoots() []model.Entry {
	out := make([]model.Entry, 0, len(t.regions))
	for _, r := range t.regions {
		out = append(out, t.entries[r.roots[0]])
	}
	return out
}

// ZoneRoots returns the root of every zone, by region.
func (t *Tree) ZoneRoots() []model.Entry {
	var out []model.Entry
	for _, r := range t.regions {
		out = append(out, t.list(r.roots)...)
	}
	return out
}

func (t *Tree) list(indexes []int) []model.Entry {
	out := make([]model.Entry, len(indexes))
	for i, m := range indexes {
		out[i] = t.entries[m]
	}
	return out
}

// Parent returns the parent of a node. The top has none.
func (t *Tree) Parent(id model.NodeID) (model.Entry, bool) {
	p, ok := t.at[id]
	if !ok || p.entry == t.top {
		return model.Entry{}, false
	}
	if i := t.above(p); i >= 0 {
		return t.entries[i], true
	}
	return t.entries[t.top], true
}

// above returns the parent by position, -1 for a region root.
func (t *Tree) above(p position) int {
	if p.index > 0 {
		return t.zones[t.entries[p.entry].Location.AvailabilityZone][(p.index-1)/FanOut]
	}
	if root := t.regionOf(p.entry).roots[0]; root != p.entry {
		return root
	}
	return -1
}

// Children returns the nodes whose parent is id.
func (t *Tree) Children(id model.NodeID) []model.Entry {
	p, ok := t.at[id]
	if !ok {
		return nil
	}
	var out []int
	members := t.zones[t.entries[p.entry].Location.AvailabilityZone]
	for i := p.index*FanOut + 1; i <= (p.index+1)*FanOut && i < len(members); i++ {
		out = append(out, members[i])
	}
	for _, r := range t.regions {
		switch {
		case r.roots[0] == p.entry:
			out = append(out, r.roots[1:]...)
		case p.entry == t.top:
			out = append(out, r.roots[0])
		}
	}
	return t.list(slices.DeleteFunc(out, func(i int) bool { return i == t.top }))
}
