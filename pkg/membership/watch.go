package membership

import (
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Watch timing.
const (
	// lostGrace lets a child that moves to another parent arrive there first.
	lostGrace = 500 * time.Millisecond
	// quietLimit is one and a half renewals.
	quietLimit = 4500 * time.Millisecond
	// probeInterval separates probes of a node that gives no sign of life.
	probeInterval = 1500 * time.Millisecond
)

// Watch holds a node's own evidence about the nodes it has to judge: its
// children in the tree, the children of suspect ones, and the root it stands
// in for. It is pure: the caller passes the time and the results of probes. It
// is not safe for concurrent use.
type Watch struct {
	evidence map[model.NodeID]*evidence
}

type evidence struct {
	generation uint64
	heard      time.Time // last sign of life
	lost       time.Time // when the stream broke, zero while it is open
	probed     time.Time
	failed     bool // the last probe failed and nothing was heard since
}

// Verdict is what the evidence says about one generation of a node.
type Verdict struct {
	Node       model.NodeID
	Generation uint64
	State      model.EntryState // Suspect or Gone
}

// NewWatch returns a Watch without evidence.
func NewWatch() *Watch { return &Watch{evidence: make(map[model.NodeID]*evidence)} }

// Heard records a sign of life: a heartbeat, an opened stream or an answered
// probe.
func (w *Watch) Heard(id model.NodeID, generation uint64, now time.Time) {
	e := w.of(id, generation, now)
	e.heard, e.lost, e.failed = now, time.Time{}, false
}

// Lost records that the stream of a child broke.
func (w *Watch) Lost(id model.NodeID, generation uint64, now time.Time) {
	if e := w.of(id, generation, now); e.lost.IsZero() {
		e.lost = now
	}
}

// Failed records that a probe was not answered.
func (w *Watch) Failed(id model.NodeID, generation uint64, now time.Time) {
	w.of(id, generation, now).failed = true
}

// of returns the evidence about a generation; a new generation starts anew.
func (w *Watch) of(id model.NodeID, generation uint64, now time.Time) *evidence {
	e, ok := w.evidence[id]
	if !ok || e.generation != generation {
		e = &evidence{generation: generation, heard: now}
		w.evidence[id] = e
	}
	return e
}

// Plan returns the targets to probe now and forgets nodes that are no targets.
func (w *Watch) Plan(targets []model.Entry, now time.Time) []model.Entry {
	wanted := make(map[model.NodeID]bool, len(targets))
	var out []model.Entry
	for _, t := range targets {
		wanted[t.Node] = true
		e := w.of(t.Node, t.Generation, now)
		quiet := now.Sub(e.heard) >= quietLimit
		lost := !e.lost.IsZero() && now.Sub(e.lost) >= lostGrace
		if (quiet || lost || e.failed || t.State == model.Suspect) && now.Sub(e.probed) >= probeInterval {
			e.probed = now
			out = append(out, t)
		}
	}
	for id, e := range w.evidence {
		if !wanted[id] && now.Sub(e.heard) > LeaseDuration {
			delete(w.evidence, id)
		}
	}
	return out
}

// Judge returns a verdict for every target without a sign of life: suspect
// after a failed probe, gone when in addition a whole lease has passed since
// the last sign, so that the node has stopped by its own clock. Nodes of other
// regions are only suspected: a partition looks the same as their death.
func (w *Watch) Judge(targets []model.Entry, own model.Region, now time.Time) []Verdict {
	var out []Verdict
	for _, t := range targets {
		e, ok := w.evidence[t.Node]
		if !ok || e.generation != t.Generation || !e.failed {
			continue
		}
		v := Verdict{Node: t.Node, Generation: t.Generation, State: model.Suspect}
		if now.Sub(e.heard) >= LeaseDuration && t.Location.Region == own {
			v.State = model.Gone
		}
		if v.State > t.State {
			out = append(out, v)
		}
	}
	return out
}

// Targets returns the entries that node id has to watch: its children of the
// same region, the children of suspect ones in turn, the root of its region
// whose grantor it is, and the node above it unless it is attached there. In a
// region with a live node, every dead one is watched: the nearest dead node
// above a live one by its child, all others from above once that one is gone.
func (t *Tree) Targets(id, attached model.NodeID) []model.Entry {
	p, ok := t.at[id]
	if !ok {
		return nil
	}
	region := t.entries[p.entry].Location.Region
	var out []model.Entry
	seen := map[model.NodeID]bool{id: true, attached: true}
	add := func(entries ...model.Entry) {
		for _, e := range entries {
			if !seen[e.Node] {
				seen[e.Node] = true
				out = append(out, e)
			}
		}
	}
	below := func(id model.NodeID) []model.Entry {
		return slices.DeleteFunc(t.Children(id), func(e model.Entry) bool { return e.Location.Region != region })
	}
	add(below(id)...)
	for _, root := range t.watchedRoots(region) {
		if g, ok := t.Grantor(root.Node); ok && g.Node == id {
			add(root)
		}
	}
	for i := 0; i < len(out); i++ {
		if out[i].State == model.Suspect {
			add(below(out[i].Node)...)
		}
	}
	switch above := t.above(p); {
	case above >= 0:
		add(t.entries[above])
	case t.top >= 0:
		add(t.entries[t.top])
	}
	return out
}

// watchedRoots returns the nodes that have no parent in their own region.
func (t *Tree) watchedRoots(r model.Region) []model.Entry {
	var out []model.Entry
	for i := range t.regions {
		if t.regions[i].name == r {
			out = append(out, t.entries[t.regions[i].roots[0]])
		}
	}
	if t.top >= 0 && t.entries[t.top].Location.Region == r {
		out = append(out, t.entries[t.top])
	}
	return out
}
