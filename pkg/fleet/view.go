package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// probeShare is the pause between two probes of an unavailable node, as a
	// share of the time that it has been unavailable: the return of a node that
	// was unreachable for 4 s is detected within 1 s.
	probeShare = 0.25
	// minProbePause is the shortest pause between probes of an unreachable node;
	// a probe itself may take 500 ms.
	minProbePause = 300 * time.Millisecond
	// minNotServingProbePause is the shortest pause between probes of a node that
	// is not serving. Such a node announces when it serves again, so a probe only
	// makes up for a lost announcement. Upstreams report every 1.5 s, so a
	// restarted node has received a report of its upstream by then.
	minNotServingProbePause = 3 * time.Second
	// maxProbePause is the longest pause between probes: 100 nodes that are gone
	// for long cost 3 connection attempts a second.
	maxProbePause = 30 * time.Second
)

// Snapshot is the fleet at one revision of the store. It is immutable.
type Snapshot struct {
	Revision follow.Revision
	Members  map[model.NodeID]Member
	// Digest identifies the set of members. It does not depend on the revision,
	// because the store's revision also rises with changes of other rows.
	Digest   uint64
	services map[string][]model.UpstreamNode
}

// DigestText returns Digest as it is shown to operators.
func (s *Snapshot) DigestText() string { return fmt.Sprintf("%016x", s.Digest) }

// UpstreamNodes returns the nodes on the VMs of the upstreams of a service. The
// caller must not change the slice.
func (s *Snapshot) UpstreamNodes(service string) []model.UpstreamNode { return s.services[service] }

// Change holds the changes between two revisions: the rows that were written and
// the nodes whose rows were removed. Revision is the later one.
type Change struct {
	Set      []Member        `json:"set,omitempty"`
	Removed  []model.NodeID  `json:"removed,omitempty"`
	Revision follow.Revision `json:"revision"`
}

// View holds the newest snapshot of the fleet, and the nodes that are currently
// unavailable: not serving or unreachable. It is safe for concurrent use.
// Current and Loaded take no lock.
type View struct {
	current atomic.Pointer[Snapshot]
	loaded  atomic.Bool // Replace has succeeded once

	// newlyUnavailable gets a value when a node becomes unavailable.
	newlyUnavailable chan struct{}

	mu          sync.Mutex
	unavailable map[model.NodeID]unavailability
	// history holds the newest changes, in order. It is complete after the
	// revision historyStart.
	history      []Change
	historyStart follow.Revision
}

// maxHistory is the number of changes that are kept for other nodes. A node that
// is further behind gets the whole fleet. A node that follows the store receives
// at most one change in 2.5 s (fleetWatchInterval in pkg/agent), so its history
// covers at least 160 s.
const maxHistory = 64

// unavailability records why and since when a node is unavailable.
type unavailability struct {
	state     model.UpstreamNodeState
	since     time.Time
	nextProbe time.Time // time of the next probe
}

// probePause returns the time from a probe now to the next one.
func (u *unavailability) probePause(now time.Time) time.Duration {
	shortest := minProbePause
	if u.state == model.NotServing {
		shortest = minNotServingProbePause
	}
	return min(max(time.Duration(probeShare*float64(now.Sub(u.since))), shortest), maxProbePause)
}

// NewView returns a view with an empty snapshot of revision 0.
func NewView() *View {
	v := &View{unavailable: make(map[model.NodeID]unavailability), newlyUnavailable: make(chan struct{}, 1)}
	v.current.Store(&Snapshot{Members: map[model.NodeID]Member{}})
	return v
}

// Current returns the newest snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Loaded reports whether Replace has succeeded once, so that the view holds the
// whole fleet.
func (v *View) Loaded() bool { return v.loaded.Load() }

// Replace sets the whole fleet at a revision. It returns false and changes
// nothing if the view already holds that revision or a later one.
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

// ChangesSince returns the changes after a revision. It returns false if the
// view no longer holds all of them, or nothing is loaded yet.
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

// Apply applies the changes up to a revision. It returns false and changes
// nothing if the view already holds that revision or a later one.
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

// SetServing records whether a node is serving, as it announced itself or as its
// refusal of a call showed. It reports whether the node was unreachable until
// now.
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

// SetUnreachable records that a connection to a node failed. The node is probed
// at once, because the cause of the failure may be on this node. It returns
// false if the node was already unreachable.
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

// setUnavailable records that a node became unavailable. The mutex is held.
func (v *View) setUnavailable(id model.NodeID, state model.UpstreamNodeState, now, nextProbe time.Time) {
	v.unavailable[id] = unavailability{state: state, since: now, nextProbe: nextProbe}
	select {
	case v.newlyUnavailable <- struct{}{}:
	default:
	}
}

// NewlyUnavailable returns a channel that gets a value when a node becomes
// unavailable. Several such events may give one value.
func (v *View) NewlyUnavailable() <-chan struct{} { return v.newlyUnavailable }

// Probes returns the unavailable nodes that are to be probed now, and the time
// until the next probe, which is 0 if no member is unavailable. Each node that it
// returns counts as probed now. Records of nodes that are not in the fleet are
// removed after maxProbePause.
func (v *View) Probes(now time.Time) (due []Member, next time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := v.current.Load().Members
	for id, u := range v.unavailable {
		m, ok := members[id]
		if !ok {
			if now.Sub(u.since) > maxProbePause { // the row may arrive after the node's state
				delete(v.unavailable, id)
			}
			continue
		}
		if !now.Before(u.nextProbe) {
			due = append(due, m)
			u.nextProbe = now.Add(u.probePause(now))
			v.unavailable[id] = u
		}
		if wait := u.nextProbe.Sub(now); next == 0 || wait < next {
			next = wait
		}
	}
	return due, next
}

// unreachableFor returns the members that have been unreachable for at least the
// given time.
func (v *View) unreachableFor(now time.Time, minimum time.Duration) []model.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []model.NodeID
	members := v.current.Load().Members
	for id, u := range v.unavailable {
		if _, ok := members[id]; ok && u.state == model.Unreachable && now.Sub(u.since) >= minimum {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsUnreachable reports whether a connection to a node failed and the node has
// not responded since.
func (v *View) IsUnreachable(id model.NodeID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unavailable[id].state == model.Unreachable
}

// republish publishes a new snapshot of the same members. The mutex is held.
func (v *View) republish() {
	old := v.current.Load()
	v.publish(old.Members, old.Revision)
}

// publish builds the next snapshot and makes it current. The mutex is held.
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
