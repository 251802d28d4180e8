package membership

import (
	"cmp"
	"slices"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// View is an immutable state of the roster. Its slices must not be changed.
type View struct {
	all      []model.Entry // sorted by service, service state, node; without gone entries
	services map[string]span
	digests  Digests
	sum      uint64
	gone     int
	self     model.NodeID

	treeOnce sync.Once
	tree     *Tree
}

// span is the part of View.all that a service may use.
type span struct{ from, to int }

// All returns every entry that is not gone.
func (v *View) All() []model.Entry { return v.all }

// Service returns the usable entries of a service: the ready ones, or the
// suspect ones when none is ready, so that suspicion alone never empties a
// service. Draining entries are never usable.
func (v *View) Service(name string) []model.Entry {
	s := v.services[name]
	return v.all[s.from:s.to:s.to]
}

// Digests returns the bucket digests.
func (v *View) Digests() *Digests { return &v.digests }

// Digest returns the digest of the whole roster.
func (v *View) Digest() uint64 { return v.sum }

// Tree returns the positions that follow from this view. It is computed on
// first use, off the call path.
func (v *View) Tree() *Tree {
	v.treeOnce.Do(func() { v.tree = NewTree(v.all) })
	return v.tree
}

// Counts returns the number of entries by service state.
func (v *View) Counts() map[model.EntryState]int {
	out := map[model.EntryState]int{model.Gone: v.gone}
	for i := range v.all {
		out[v.all[i].ServiceState()]++
	}
	return out
}

func compareEntries(a, b *model.Entry) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	if c := cmp.Compare(a.ServiceState(), b.ServiceState()); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}

// buildView derives the next view from the previous one and the changed
// records. Unchanged entries keep their order, so the cost is one copy of the
// list and a sort of the changes.
func buildView(prev *View, c *Core) *View {
	fresh := make([]model.Entry, 0, len(c.changed))
	for id := range c.changed {
		if r, ok := c.records[id]; ok && r.entry.State != model.Gone {
			fresh = append(fresh, r.entry)
		}
	}
	slices.SortFunc(fresh, func(a, b model.Entry) int { return compareEntries(&a, &b) })
	v := &View{digests: c.digests, sum: c.digests.Sum(), self: c.self}
	v.all = mergeSorted(prev, fresh, c.changed)
	v.gone = len(c.records) - len(v.all)
	v.services = serviceSpans(v.all)
	clear(c.changed)
	return v
}

func mergeSorted(prev *View, fresh []model.Entry, changed map[model.NodeID]struct{}) []model.Entry {
	var old []model.Entry
	if prev != nil {
		old = prev.all
	}
	out := make([]model.Entry, 0, len(old)+len(fresh))
	for i := range old {
		if _, ok := changed[old[i].Node]; ok {
			continue
		}
		for len(fresh) > 0 && compareEntries(&fresh[0], &old[i]) < 0 {
			out = append(out, fresh[0])
			fresh = fresh[1:]
		}
		out = append(out, old[i])
	}
	return append(out, fresh...)
}

func serviceSpans(all []model.Entry) map[string]span {
	spans := make(map[string]span)
	for i := 0; i < len(all); {
		name, first := all[i].Service, all[i].ServiceState()
		j := i
		for j < len(all) && all[j].Service == name && all[j].ServiceState() == first {
			j++
		}
		if first < model.Draining {
			spans[name] = span{i, j}
		}
		for j < len(all) && all[j].Service == name {
			j++
		}
		i = j
	}
	return spans
}
