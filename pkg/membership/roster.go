package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// viewInterval is the shortest time between two view rebuilds, so that a storm
// of changes costs at most 50 rebuilds a second.
const viewInterval = 20 * time.Millisecond

// Observer is told about changes of the roster. from is the node that sent
// them, empty for changes that began here.
type Observer func(from model.NodeID, changes []model.Entry)

// Roster is the roster of one node. It is safe for concurrent use.
type Roster struct {
	mu       sync.Mutex
	core     *Core
	rebuilt  time.Time
	pending  bool
	observer Observer

	view  atomic.Pointer[View]
	lease lease
}

// NewRoster returns a roster that holds only the own entry.
func NewRoster(self model.Entry) *Roster {
	r := &Roster{core: NewCore(self)}
	r.lease.start = time.Now()
	r.view.Store(buildView(nil, r.core))
	return r
}

// View returns the current view. It is one atomic load.
func (r *Roster) View() *View { return r.view.Load() }

// Self returns the own entry.
func (r *Roster) Self() model.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Own()
}

// Observe sets the function that is told about changes. It must be set before
// the roster is shared.
func (r *Roster) Observe(o Observer) { r.observer = o }

// Merge takes in announced entries and returns those that were new, among them
// the own entry when this node refuted a suspicion.
func (r *Roster) Merge(entries []model.Entry) []model.Entry { return r.MergeFrom("", entries) }

// MergeFrom is Merge for entries that node from sent.
func (r *Roster) MergeFrom(from model.NodeID, entries []model.Entry) []model.Entry {
	return r.apply(from, func(now time.Time) []model.Entry {
		var out []model.Entry
		for i := range entries {
			if e, ok := r.core.Merge(entries[i], now); ok {
				out = append(out, e)
			}
		}
		return out
	})
}

// SetState announces a state of the own entry. Suspect stands for an upstream
// that does not answer: a node cannot suspect itself.
func (r *Roster) SetState(s model.EntryState) {
	r.updateOwn(func(e *model.Entry) bool {
		before := *e
		e.State, e.UpstreamLost = s, false
		if s == model.Suspect {
			e.State, e.UpstreamLost = model.Ready, true
		}
		return e.State != before.State || e.UpstreamLost != before.UpstreamLost
	})
}

// SetPublisher announces whether this node is the publisher.
func (r *Roster) SetPublisher(p bool) {
	r.updateOwn(func(e *model.Entry) bool {
		changed := e.Publisher != p
		e.Publisher = p
		return changed
	})
}

func (r *Roster) updateOwn(change func(*model.Entry) bool) {
	r.apply("", func(now time.Time) []model.Entry {
		own := r.core.Own()
		if !change(&own) {
			return nil
		}
		return []model.Entry{r.core.Update(func(e *model.Entry) { *e = own }, now)}
	})
}

// Regenerate announces the own entry with a new generation. A node does so
// after its lease has lapsed.
func (r *Roster) Regenerate() {
	r.apply("", func(now time.Time) []model.Entry { return []model.Entry{r.core.Regenerate(now)} })
}

// Mark sets the state of another node's entry on this node's own evidence
// about the stated generation.
func (r *Roster) Mark(id model.NodeID, generation uint64, s model.EntryState) {
	r.apply("", func(now time.Time) []model.Entry {
		if e, ok := r.core.Mark(id, generation, s, now); ok {
			return []model.Entry{e}
		}
		return nil
	})
}

// Expire forgets entries that have been gone for GoneRetention.
func (r *Roster) Expire() {
	r.apply("", func(now time.Time) []model.Entry {
		r.core.Expire(now)
		return nil
	})
}

// Get returns the entry of a node, also if it is gone.
func (r *Roster) Get(id model.NodeID) (model.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Get(id)
}

// Entries returns the entries of the given buckets, gone ones included, so
// that a sync also withdraws entries. Nil means every bucket.
func (r *Roster) Entries(buckets []int) []model.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Entries(buckets)
}

// apply runs change under the lock, renews the view and tells the observer.
func (r *Roster) apply(from model.NodeID, change func(now time.Time) []model.Entry) []model.Entry {
	r.mu.Lock()
	now := time.Now()
	changes := change(now)
	if len(r.core.changed) > 0 {
		r.renewView(now)
	}
	r.mu.Unlock()
	if r.observer != nil && len(changes) > 0 {
		r.observer(from, changes)
	}
	return changes
}

// renewView rebuilds the view at once after a quiet time and otherwise once
// per viewInterval. The caller holds the lock.
func (r *Roster) renewView(now time.Time) {
	if r.pending {
		return
	}
	if wait := viewInterval - now.Sub(r.rebuilt); wait > 0 {
		r.pending = true
		time.AfterFunc(wait, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.pending = false
			r.rebuild()
		})
		return
	}
	r.rebuild()
}

func (r *Roster) rebuild() {
	r.view.Store(buildView(r.view.Load(), r.core))
	r.rebuilt = time.Now()
}
