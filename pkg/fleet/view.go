package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// probeShare of the time that a node has been in doubt is the pause between
	// two probes: a node that was away for 4 s is found again within 1 s.
	probeShare = 0.25
	// minProbe bounds the pause between probes of a node that does not answer
	// connections; a probe itself may take 500 ms.
	minProbePause = 300 * time.Millisecond
	// minIdleProbe does so for a node that said that it takes no work. Nodes
	// announce their return, so a probe only makes up for a lost announcement.
	// Upstreams report every 1.5 s, and a node that has started anew knows its
	// upstream by then.
	minNotServingProbePause = 3 * time.Second
	// maxProbe bounds the pause for nodes that are gone for long: 100 of them
	// cost 3 connection attempts a second.
	maxProbePause = 30 * time.Second
)

// Snapshot is the fleet at one revision of the store. It is immutable.
type Snapshot struct {
	Revision follow.Revision
	Members  map[model.NodeID]Member
	// Digest is the same for the same members, whatever the revision: the
	// store's revision also rises by changes of other rows.
	Digest   uint64
	services map[string][]model.UpstreamNode
}

// Entries returns the nodes beside upstreams of a service. The caller must not
// change the slice.
func (s *Snapshot) Entries(service string) []model.UpstreamNode { return s.services[service] }

// Change is what happened between two revisions.
type Change struct {
	Set      []Member        `json:"set,omitempty"`
	Removed  []model.NodeID  `json:"removed,omitempty"`
	Revision follow.Revision `json:"revision"`
}

// View holds the newest snapshot. Reads take no lock.
type View struct {
	current atomic.Pointer[Snapshot]
	loaded  atomic.Bool // a whole state was seen

	// doubted receives when a node is newly in doubt.
	newlyUnavailable chan struct{}

	mu          sync.Mutex
	unavailable map[model.NodeID]unavailability
	// history holds the newest changes, in order; floor is the revision after
	// which they are complete.
	history      []Change
	historyStart follow.Revision
}

// maxHistory is how many changes a node can pass on; a node that is further
// behind gets the whole fleet.
const maxHistory = 64

// doubt is why a node is not used like others.
type unavailability struct {
	state     model.UpstreamNodeState
	since     time.Time
	nextProbe time.Time // when the node is asked next
}

// pause returns the time from one probe to the next.
func (d *unavailability) probePause(now time.Time) time.Duration {
	shortest := minProbePause
	if d.state == model.NotServing {
		shortest = minNotServingProbePause
	}
	return min(max(time.Duration(probeShare*float64(now.Sub(d.since))), shortest), maxProbePause)
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{unavailable: make(map[model.NodeID]unavailability), newlyUnavailable: make(chan struct{}, 1)}
	v.current.Store(&Snapshot{Members: map[model.NodeID]Member{}})
	return v
}

// Current returns the newest snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Known reports whether the whole fleet was seen once.
func (v *View) Loaded() bool { return v.loaded.Load() }

// Replace takes the whole fleet at a revision. It reports whether that is
// newer than what is known.
func (v *View) Replace(members []Member, revision follow.Revision) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loaded.Load() && revision <= v.current.Load().Revision {
		return false
	}
	next := make(map[model.NodeID]Member, len(members))
	for _, m := range members {
		next[m.Node] = m
	}
	v.publish(next, revision)
	v.history, v.historyStart = nil, revision
	v.loaded.Store(true)
	return true
}

// Since returns the changes after a revision. It returns false if they are not
// known any more.
func (v *View) ChangesSince(after follow.Revision) (c Change, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded.Load() || after < v.historyStart {
		return Change{}, false
	}
	set, removed := make(map[model.NodeID]Member), make(map[model.NodeID]bool)
	for _, h := range v.history {
		if h.Revision <= after {
			continue
		}
		for _, m := range h.Set {
			set[m.Node] = m
			delete(removed, m.Node)
		}
		for _, id := range h.Removed {
			delete(set, id)
			removed[id] = true
		}
	}
	return Change{
		Set: slices.Collect(maps.Values(set)), Removed: slices.Collect(maps.Keys(removed)), Revision: v.current.Load().Revision,
	}, true
}

// Apply takes the changes up to a revision. It reports whether that is newer
// than what is known.
func (v *View) Apply(c Change) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if c.Revision <= old.Revision {
		return false
	}
	v.history = append(v.history, c)
	if n := len(v.history) - maxHistory; n > 0 {
		v.historyStart = v.history[n-1].Revision
		v.history = slices.Clone(v.history[n:])
	}
	next := maps.Clone(old.Members)
	for _, m := range c.Set {
		next[m.Node] = m
	}
	for _, id := range c.Removed {
		delete(next, id)
		delete(v.unavailable, id)
	}
	v.publish(next, c.Revision)
	return true
}

// SetServing notes what a node said about itself, or what its refusal of a
// call showed. It reports whether the node was unreachable until now.
func (v *View) SetServing(id model.NodeID, serving bool, now time.Time) (regained bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, wasUnavailable := v.unavailable[id]
	switch {
	case serving && wasUnavailable:
		delete(v.unavailable, id)
	case !serving && (!wasUnavailable || old.state == model.Unreachable):
		v.setUnavailable(id, model.NotServing, now, now.Add(minNotServingProbePause))
	default:
		return false
	}
	v.republish()
	return wasUnavailable && old.state == model.Unreachable
}

// SetUnreachable notes that a node did not answer a connection. It is probed
// at once, because the failure may be this node's own. It reports whether that
// is new.
func (v *View) SetUnreachable(id model.NodeID, now time.Time) (lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unavailable[id].state == model.Unreachable {
		return false
	}
	v.setUnavailable(id, model.Unreachable, now, now)
	v.republish()
	return true
}

// doubt notes a new doubt. The mutex is held.
func (v *View) setUnavailable(id model.NodeID, state model.UpstreamNodeState, now, nextProbe time.Time) {
	v.unavailable[id] = unavailability{state: state, since: now, nextProbe: nextProbe}
	select {
	case v.newlyUnavailable <- struct{}{}:
	default:
	}
}

// Doubted receives when a node is newly in doubt.
func (v *View) NewlyUnavailable() <-chan struct{} { return v.newlyUnavailable }

// Probes returns the nodes in doubt that are to be asked now, and the time
// until the next one is; 0 if no node is in doubt. Nodes that have left the
// fleet are forgotten.
func (v *View) Probes(now time.Time) (due []Member, next time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := v.current.Load().Members
	for id, d := range v.unavailable {
		m, ok := members[id]
		if !ok {
			if now.Sub(d.since) > maxProbePause { // a row may follow its digest
				delete(v.unavailable, id)
			}
			continue
		}
		if !now.Before(d.nextProbe) {
			due = append(due, m)
			d.nextProbe = now.Add(d.probePause(now))
			v.unavailable[id] = d
		}
		if wait := d.nextProbe.Sub(now); next == 0 || wait < next {
			next = wait
		}
	}
	return due, next
}

// unreachable returns the members that have not answered for at least some
// time.
func (v *View) unreachableFor(now time.Time, minimum time.Duration) []model.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []model.NodeID
	members := v.current.Load().Members
	for id, d := range v.unavailable {
		if _, ok := members[id]; ok && d.state == model.Unreachable && now.Sub(d.since) >= minimum {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsUnreachable reports whether a node did not answer and has not been heard
// since.
func (v *View) IsUnreachable(id model.NodeID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unavailable[id].state == model.Unreachable
}

// republish builds a snapshot of the same members. The mutex is held.
func (v *View) republish() {
	old := v.current.Load()
	v.publish(old.Members, old.Revision)
}

// publish builds the next snapshot. The mutex is held.
func (v *View) publish(members map[model.NodeID]Member, revision follow.Revision) {
	s := &Snapshot{Revision: revision, Members: members, services: make(map[string][]model.UpstreamNode)}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		m := members[id]
		s.Digest ^= m.digest()
		e := model.UpstreamNode{Node: m.Node, Service: m.Service, Location: m.Location, Address: m.CallAddress}
		e.State = v.unavailable[id].state
		s.services[m.Service] = append(s.services[m.Service], e)
	}
	v.current.Store(s)
}
