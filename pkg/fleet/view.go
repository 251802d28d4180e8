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

// Snapshot is the fleet at one position of the store. It is immutable.
type Snapshot struct {
	Position follow.Position
	// Members are the nodes with a row in the store, and the unconfirmed nodes.
	Members map[model.NodeID]Member
	// Digest identifies the set of nodes with a row. It does not depend on the
	// position, because the store's revision also rises with changes of other rows.
	Digest      uint64
	services    map[string][]model.UpstreamNode
	registered  map[model.NodeID]Member
	unconfirmed int
}

// Registered returns a node as described by its row in the store. It returns false
// if the store has no row of the node.
func (s *Snapshot) Registered(id model.NodeID) (Member, bool) {
	m, ok := s.registered[id]
	return m, ok
}

// AllRegistered returns all nodes that have a row in the store.
func (s *Snapshot) AllRegistered() []Member { return slices.Collect(maps.Values(s.registered)) }

// Unconfirmed returns the number of unconfirmed nodes: a restored store has lost
// their rows, and they have not written them again.
func (s *Snapshot) Unconfirmed() int { return s.unconfirmed }

// DigestText returns Digest as it is shown to operators.
func (s *Snapshot) DigestText() string { return fmt.Sprintf("%016x", s.Digest) }

// UpstreamNodes returns the nodes on the VMs of the upstreams of a service. The
// caller must not change the slice.
func (s *Snapshot) UpstreamNodes(service string) []model.UpstreamNode { return s.services[service] }

// Change holds the changes up to a position of the store: the rows that were
// written and the nodes whose rows were removed.
type Change struct {
	Set     []Member       `json:"set,omitempty"`
	Removed []model.NodeID `json:"removed,omitempty"`
	follow.Position
	// Base is set if the change is the difference of two states, so that it lacks
	// rows that were written and removed in between. It can be applied only to the
	// state at Base or an earlier one.
	Base follow.Position `json:"base,omitzero"`
}

// appliesTo reports whether the change leads from the state at p to a later one.
func (c *Change) appliesTo(p follow.Position) bool {
	return c.Position.After(p) && (c.Base == follow.Position{} || !p.After(c.Base))
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
	software    map[model.NodeID]string // versions of the software of upstreams, as far as they are known
	// history holds the newest changes, in order. It is complete after the
	// position historyStart.
	history      []Change
	historyStart follow.Position
	rows         reconciliation
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

// NewView returns a view with an empty snapshot of the zero position.
func NewView() *View {
	v := &View{
		unavailable: make(map[model.NodeID]unavailability), software: make(map[model.NodeID]string), newlyUnavailable: make(chan struct{}, 1), rows: newReconciliation(),
	}
	v.current.Store(&Snapshot{Members: map[model.NodeID]Member{}})
	return v
}

// Current returns the newest snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Loaded reports whether Replace has succeeded once, so that the view holds the
// whole fleet.
func (v *View) Loaded() bool { return v.loaded.Load() }

// Replace sets the whole fleet at a position. It returns false and changes
// nothing if the view already holds that position or a later one.
func (v *View) Replace(members []Member, at follow.Position, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if v.loaded.Load() && !at.After(old.Position) {
		return false
	}
	next := make(map[model.NodeID]Member, len(members))
	for _, m := range members {
		next[m.Node] = m
	}
	if v.loaded.Load() {
		v.record(difference(old, next, at))
	} else {
		v.historyStart = at
	}
	v.advance(next, at, now)
	v.loaded.Store(true)
	return true
}

// difference returns the change from a snapshot to the rows at a later position.
func difference(from *Snapshot, to map[model.NodeID]Member, at follow.Position) Change {
	c := Change{Position: at, Base: from.Position}
	for id, m := range to {
		if from.registered[id] != m {
			c.Set = append(c.Set, m)
		}
	}
	for id := range from.registered {
		if _, ok := to[id]; !ok {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// record appends a change to the history. The mutex is held.
func (v *View) record(c Change) {
	v.history = append(v.history, c)
	if n := len(v.history) - maxHistory; n > 0 {
		v.historyStart = v.history[n-1].Position
		v.history = slices.Clone(v.history[n:])
	}
}

// ChangesSince returns the changes after a position. It returns false if the
// view no longer holds all of them, or nothing is loaded yet.
func (v *View) ChangesSince(after follow.Position) (c Change, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded.Load() || v.historyStart.After(after) {
		return Change{}, false
	}
	set, removed := make(map[model.NodeID]Member), make(map[model.NodeID]bool)
	for i := range v.history {
		h := &v.history[i]
		if !h.After(after) {
			continue
		}
		if !h.appliesTo(after) {
			return Change{}, false
		}
		if h.Base != (follow.Position{}) && (c.Base == follow.Position{} || c.Base.After(h.Base)) {
			c.Base = h.Base
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
	c.Set, c.Removed, c.Position = slices.Collect(maps.Values(set)), slices.Collect(maps.Keys(removed)), v.current.Load().Position
	return c, true
}

// Apply applies the changes up to a position. It returns false and changes
// nothing if the view already holds that position or a later one, or if the change
// does not apply to the state that the view holds.
func (v *View) Apply(c Change, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if !c.appliesTo(old.Position) {
		return false
	}
	v.record(c)
	next := maps.Clone(old.registered)
	for _, m := range c.Set {
		next[m.Node] = m
	}
	for _, id := range c.Removed {
		delete(next, id)
		if u, ok := v.rows.unconfirmed[id]; ok && c.Era == old.Position.Era {
			delete(v.unavailable, id)
			v.rows.recordDeparture(u.member) // it has written its row again and left
		}
	}
	v.advance(next, c.Position, now)
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

// SetSoftware records the version of the software of the upstream beside a node; an empty
// one is not known.
func (v *View) SetSoftware(id model.NodeID, software string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.software[id] == software {
		return
	}
	if software == "" {
		delete(v.software, id)
	} else {
		v.software[id] = software
	}
	v.republish()
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

// republish publishes a new snapshot of the same rows. The mutex is held.
func (v *View) republish() {
	old := v.current.Load()
	v.publish(old.registered, old.Position)
}

// publish builds the next snapshot and makes it current. The mutex is held.
func (v *View) publish(registered map[model.NodeID]Member, at follow.Position) {
	s := &Snapshot{
		Position: at, Members: registered, registered: registered, unconfirmed: len(v.rows.unconfirmed), services: make(map[string][]model.UpstreamNode),
	}
	if s.unconfirmed > 0 {
		s.Members = maps.Clone(registered)
		for id, u := range v.rows.unconfirmed {
			s.Members[id] = u.member
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[id]
		e := model.UpstreamNode{Node: m.Node, Service: m.Service, Location: m.Location, Address: m.CallAddress, Software: v.software[id]}
		e.State = v.unavailable[id].state
		s.services[m.Service] = append(s.services[m.Service], e)
	}
	for _, m := range registered {
		s.Digest ^= m.digest()
	}
	v.current.Store(s)
}
