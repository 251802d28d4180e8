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

// absenceTime is how long a node that said that it takes no work is used only
// as a last resort. Nodes announce their return; the bound is for lost
// announcements. Upstreams report every 1.5 s, so a node that has started anew
// knows its upstream by then.
const absenceTime = 3 * time.Second

// maxUnreachable bounds how long a node that does not answer connections is set
// aside. The time doubles from absenceTime with each failure: a VM that is gone
// for good keeps its row, and every attempt costs its call a tenth of a second.
// A node that returns announces itself, which ends it at once.
const maxUnreachable = time.Minute

// Snapshot is the fleet at one revision of the store. It is immutable.
type Snapshot struct {
	Revision follow.Revision
	Members  map[model.NodeID]Member
	// Digest is the same for the same members, whatever the revision: the
	// store's revision also rises by changes of other rows.
	Digest   uint64
	services map[string][]model.Entry
}

// Entries returns the nodes beside upstreams of a service. The caller must not
// change the slice.
func (s *Snapshot) Entries(service string) []model.Entry { return s.services[service] }

// Change is what happened between two revisions.
type Change struct {
	Set      []Member
	Removed  []model.NodeID
	Revision follow.Revision
}

// View holds the newest snapshot. Reads take no lock.
type View struct {
	current atomic.Pointer[Snapshot]
	known   atomic.Bool // a whole state was seen

	mu     sync.Mutex
	absent map[model.NodeID]time.Time     // until
	silent map[model.NodeID]time.Duration // last time set aside as unreachable
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{absent: make(map[model.NodeID]time.Time), silent: make(map[model.NodeID]time.Duration)}
	v.current.Store(&Snapshot{Members: map[model.NodeID]Member{}})
	return v
}

// Current returns the newest snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Known reports whether the whole fleet was seen once.
func (v *View) Known() bool { return v.known.Load() }

// Replace takes the whole fleet at a revision. It reports whether that is
// newer than what is known.
func (v *View) Replace(members []Member, at follow.Revision) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known.Load() && at <= v.current.Load().Revision {
		return false
	}
	next := make(map[model.NodeID]Member, len(members))
	for _, m := range members {
		next[m.Node] = m
	}
	v.publish(next, at)
	v.known.Store(true)
	return true
}

// Apply takes the changes up to a revision.
func (v *View) Apply(c Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if c.Revision <= old.Revision {
		return
	}
	next := maps.Clone(old.Members)
	for _, m := range c.Set {
		next[m.Node] = m
	}
	for _, id := range c.Removed {
		delete(next, id)
		delete(v.silent, id)
	}
	v.publish(next, c.Revision)
}

// SetServing notes what a node said about itself, or what its refusal of a
// call showed.
func (v *View) SetServing(id model.NodeID, serving bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, was := v.absent[id]
	if serving {
		delete(v.absent, id)
		delete(v.silent, id)
	} else if until := now.Add(absenceTime); until.After(v.absent[id]) {
		v.absent[id] = until
	}
	if was == serving {
		old := v.current.Load()
		v.publish(old.Members, old.Revision)
	}
}

// SetUnreachable notes that a node did not answer a connection.
func (v *View) SetUnreachable(id model.NodeID, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.absent[id]) {
		return // one of the calls that were on their way together
	}
	span := min(max(2*v.silent[id], absenceTime), maxUnreachable)
	v.silent[id], v.absent[id] = span, now.Add(span)
	old := v.current.Load()
	v.publish(old.Members, old.Revision)
}

// Expire ends absences whose time is over.
func (v *View) Expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := len(v.absent)
	maps.DeleteFunc(v.absent, func(_ model.NodeID, until time.Time) bool { return now.After(until) })
	if len(v.absent) != before {
		old := v.current.Load()
		v.publish(old.Members, old.Revision)
	}
}

// publish builds the next snapshot. The mutex is held.
func (v *View) publish(members map[model.NodeID]Member, at follow.Revision) {
	s := &Snapshot{Revision: at, Members: members, services: make(map[string][]model.Entry)}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		m := members[id]
		s.Digest ^= m.digest()
		e := model.Entry{Node: m.Node, Service: m.Service, Location: m.Location, Address: m.CallAddress}
		if _, away := v.absent[id]; away {
			e.State = model.Suspect
		}
		s.services[m.Service] = append(s.services[m.Service], e)
	}
	v.current.Store(s)
}
