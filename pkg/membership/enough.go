package membership

import (
	"fmt"

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
// the store: the zone root, three nodes of the own zone (or all of them), and
// the root of another zone if there is one. Suspect nodes count as dead. A
// process that knows no other node has no source at all.
func (t *Tree) Enough(id model.NodeID, zone model.AvailabilityZone, answered map[model.NodeID]bool) Sources {
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
	roots := t.otherRoots(zone)
	if len(roots) > 0 && len(unanswered(roots, answered)) == len(roots) {
		miss("no root of another zone has answered", roots...)
	}
	if len(peers) == 0 && len(roots) == 0 {
		miss("no other node is known")
	}
	return s
}

// liveOthers returns the other nodes of a zone that are not suspect, oldest
// first, and how many of them have answered.
func (t *Tree) liveOthers(id model.NodeID, zone model.AvailabilityZone, answered map[model.NodeID]bool) ([]model.Entry, int) {
	var out []model.Entry
	heard := 0
	for _, e := range t.Zone(zone) {
		if e.Node == id || e.State == model.Suspect {
			continue
		}
		out = append(out, e)
		if answered[e.Node] {
			heard++
		}
	}
	return out, heard
}

func (t *Tree) otherRoots(zone model.AvailabilityZone) []model.Entry {
	var out []model.Entry
	for z := range t.zones {
		if z == zone {
			continue
		}
		if root, ok := t.ZoneRoot(z); ok && root.State != model.Suspect {
			out = append(out, root)
		}
	}
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
