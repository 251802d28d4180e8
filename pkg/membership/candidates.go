package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// maxPeers is the number of random older nodes of the own zone that are tried
// after every node above the caller's position.
const maxPeers = 4

// Candidates returns the nodes to try as parent of id, best first: the parent,
// the grandparents up to the zone root, the siblings of the parent, the region
// root, any roots (own region first), and some older nodes of the own zone.
// Suspect and draining nodes come last, see Serves. Nodes that receive their versions
// through id by position are left out, because they cannot be ahead of it.
func (t *Tree) Candidates(id model.NodeID, rnd *rand.Rand) []model.Entry {
	p, ok := t.at[id]
	if !ok || p.entry == t.top {
		return nil
	}
	s := selection{tree: t, seen: map[int]bool{p.entry: true}}
	chain := t.chain(p)
	s.add(chain...)
	s.add(shuffled(t.siblings(chain[0]), rnd)...)
	own := t.regionOf(p.entry)
	if own.roots[0] != p.entry {
		s.add(own.roots[0])
		s.add(shuffled(own.roots, rnd)...)
	}
	if p.index > 0 {
		// A node inside a zone prefers any node of its zone to a paid link.
		older := shuffled(t.zones[t.entries[p.entry].Location.AvailabilityZone][:p.index], rnd)
		s.add(older[:min(len(older), maxPeers)]...)
	}
	var others []int
	for i := range t.regions {
		if t.regions[i].name != own.name {
			others = append(others, t.regions[i].roots...)
		}
	}
	s.add(shuffled(others, rnd)...)
	s.add(t.top)
	return append(t.list(s.good), t.list(s.poor)...)
}

// Serves reports whether e is a good parent: a ready node, or the publisher
// while it drains, because versions come from nowhere else until it gives up
// its lease.
func (t *Tree) Serves(e *model.Entry) bool {
	return e.State == model.Ready || e.State == model.Draining && t.top >= 0 && t.entries[t.top].Node == e.Node
}

// Grantor returns the node that grants the lease of the top and watches roots
// that no node of their region has as a child: the first live one of the
// position above, the other zone roots of the region, the eldest of the zone,
// and the roots of other regions.
func (t *Tree) Grantor(id model.NodeID) (model.Entry, bool) {
	p, ok := t.at[id]
	if !ok {
		return model.Entry{}, false
	}
	s := selection{tree: t, seen: map[int]bool{p.entry: true}}
	if i := t.above(p); i >= 0 {
		s.add(i)
	}
	s.add(t.regionOf(p.entry).roots...)
	s.add(t.zones[t.entries[p.entry].Location.AvailabilityZone]...)
	far := selection{tree: t, seen: s.seen}
	for i := range t.regions {
		far.add(t.regions[i].roots...)
	}
	for _, i := range slices.Concat(s.good, s.poor, far.good, far.poor) {
		return t.entries[i], true
	}
	return model.Entry{}, false
}

// chain returns the ancestors of p up to the root of its zone, nearest first;
// for a zone root the region root, and for a region root the top.
func (t *Tree) chain(p position) []int {
	i := t.above(p)
	if i < 0 {
		return []int{t.top}
	}
	var out []int
	for i >= 0 {
		out = append(out, i)
		if p = t.at[t.entries[i].Node]; p.index == 0 {
			break
		}
		i = t.above(p)
	}
	return out
}

func (t *Tree) siblings(i int) []int {
	p := t.at[t.entries[i].Node]
	if p.index == 0 {
		return nil
	}
	members := t.zones[t.entries[i].Location.AvailabilityZone]
	first := (p.index-1)/FanOut*FanOut + 1
	return members[first:min(first+FanOut, len(members))]
}

func shuffled(in []int, rnd *rand.Rand) []int {
	out := append([]int(nil), in...)
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// selection collects distinct entries; suspect and draining ones apart.
type selection struct {
	tree       *Tree
	seen       map[int]bool
	good, poor []int
}

func (s *selection) add(indexes ...int) {
	for _, i := range indexes {
		if i < 0 || s.seen[i] {
			continue
		}
		s.seen[i] = true
		if s.tree.Serves(&s.tree.entries[i]) {
			s.good = append(s.good, i)
		} else {
			s.poor = append(s.poor, i)
		}
	}
}
