package rollout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/follow"
)

// maxServices bounds the services whose rollouts a node holds. Orders come from the
// operator; the bound is for rows that a fault has produced.
const maxServices = 1000

// Snapshot holds the rollouts of all services. It is immutable.
type Snapshot struct {
	views  map[string]*View
	digest uint64
}

// Of returns the rollout of a service, or nil if nothing is known of one.
func (s *Snapshot) Of(service string) *View { return s.views[service] }

// All returns the rollouts in the order of their services.
func (s *Snapshot) All() []*View {
	var all []*View
	for _, v := range s.views {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *View) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return all
}

// Digest identifies what is known of all rollouts, apart from figures that change all
// the time; 0 if nothing is known.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Table holds what a node knows of the rollouts of all services. It is safe for
// concurrent use; Current takes no lock.
type Table struct {
	stale   time.Duration
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // held by writers
}

// NewTable returns an empty table. rollback is the time within which a bad version must
// get no more requests; without a state of the coordinator for half of it, calls no
// longer go to the new version.
func NewTable(rollback time.Duration) *Table {
	t := &Table{stale: rollback / 2}
	t.current.Store(&Snapshot{})
	return t
}

// Current returns what is known now.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// ApplyOrders adds the orders that were read from the store. It returns the states that
// are new. Orders must have passed Check.
func (t *Table) ApplyOrders(orders []Order, now time.Time) []State {
	states := make([]State, 0, len(orders))
	for _, o := range orders {
		states = append(states, State{Service: o.Service, To: o.To, Within: InMilliseconds(o.Within), At: o.At, Phase: Pending})
	}
	return t.Merge(states, now)
}

// Withdraw records that the row of the order of a service was removed at a position. It
// returns the state if that has changed it.
func (t *Table) Withdraw(service string, at follow.Position, now time.Time) []State {
	v := t.Current().Of(service)
	if v == nil || !v.HasOrder() || v.Withdrawn || v.Phase.Final() || v.At.Era != at.Era || !at.After(v.At) {
		return nil
	}
	s := v.Sent(now)
	s.Withdrawn = true
	return t.Merge([]State{s}, now)
}

// Merge adds states that another node, or this one, knows. It returns those that are
// new, as this node knows them now. States must have passed Check.
func (t *Table) Merge(states []State, now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	var views map[string]*View
	var fresh []State
	for _, s := range states {
		before := old.views[s.Service]
		if views != nil {
			before = views[s.Service]
		}
		next := t.merged(before, s, now)
		if next == nil || before == nil && len(old.views)+len(fresh) >= maxServices {
			continue
		}
		if views == nil {
			views = make(map[string]*View, len(old.views)+1)
			for name, v := range old.views {
				views[name] = v
			}
		}
		views[s.Service] = next
		fresh = append(fresh, next.Sent(now))
	}
	if views == nil {
		return nil
	}
	snapshot := &Snapshot{views: views}
	for _, v := range views {
		snapshot.digest ^= v.digest()
	}
	t.current.Store(snapshot)
	return fresh
}

// merged returns what is known after a state has arrived, or nil if it says nothing new.
func (t *Table) merged(before *View, s State, now time.Time) *View {
	began, phaseBegan, heard := now.Add(-s.Age.Duration()), now.Add(-s.PhaseAge.Duration()), now.Add(-s.Silence.Duration())
	if s.ShareFor > 0 {
		s.ShareFor += s.Silence // it counts from when the state was sent
	}
	if before == nil {
		return newView(s, began, phaseBegan, heard, t.stale)
	}
	so, bo := s.Order(), before.Order()
	same := s.HasOrder() && before.HasOrder() && so.same(&bo)
	known := before.Sent(now)
	newer := s.replaces(&known)
	if !same {
		if !newer {
			return nil
		}
		if s.HasOrder() && s.From == "" {
			s.From = before.InUse()
		}
		if s.HasOrder() {
			s.Barred = s.barredBy(&before.State)
		}
		return newView(s, began, phaseBegan, heard, t.stale)
	}
	next := before.State
	if newer {
		next = s
		if next.From == "" {
			next.From = before.From
		}
		if s.Phase == before.Phase && before.PhaseBegan.Before(phaseBegan) {
			phaseBegan = before.PhaseBegan
		}
	} else {
		phaseBegan, heard = before.PhaseBegan, before.Heard
		if next.From == "" {
			next.From = s.From
		}
	}
	if before.Began.Before(began) {
		began = before.Began
	}
	next.Barred = next.withBarred(slices.Concat(s.Barred, before.Barred))
	next.Withdrawn = s.Withdrawn || before.Withdrawn
	next.Written = s.Written && s.Phase == next.Phase || before.Written && before.Phase == next.Phase
	if before.At.After(s.At) {
		next.At = before.At
	} else {
		next.At = s.At
	}
	if !newer && next.digest() == before.digest() {
		return nil
	}
	return newView(next, began, phaseBegan, heard, t.stale)
}
