package recovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/contain"
	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const (
	// enoughHolders is the number of other nodes that hold a departure at which it is
	// acknowledged at once. The store does not count: a process that starts while the
	// store is away must find the departure at other nodes.
	enoughHolders = 2
	// saveTimeout bounds the wait for holders of a departure. Its acknowledgement
	// must arrive within a second.
	saveTimeout = 700 * time.Millisecond
	// storeRetryDelay is the time between two attempts to write a departure to the
	// store, which continue after it was acknowledged.
	storeRetryDelay = time.Second
	// maxStoreAttempts bounds these attempts. They cover an outage of the store of
	// several minutes.
	maxStoreAttempts = 300
)

// ErrNotHeld means that neither the store nor another node has confirmed a departure.
// It must not be acknowledged: the next process would not know of it.
var ErrNotHeld = merry.New("departure is held by no other process and not by the store")

// Store holds the departures of each node in the platform's store. Its methods return
// an error if the store does not respond. It must be safe for concurrent use.
type Store interface {
	// SaveDeparture adds a departure of a node, and removes older ones of that node.
	SaveDeparture(ctx context.Context, d Departure, older []upstream.Departure) error
	// Departures returns the departures of a node, in the order in which they were
	// written.
	Departures(ctx context.Context, id model.NodeID) ([]upstream.Departure, error)
}

// CrashStore holds the records of refused requests in the platform's store. Its
// methods return an error if the store does not respond. It must be safe for
// concurrent use.
type CrashStore interface {
	SaveCrashes(ctx context.Context, f crashguard.Fingerprint, r crashguard.Record) error
	RemoveCrashes(ctx context.Context, fingerprints []crashguard.Fingerprint) error
	// Crashes returns all records, at most as many as one response of the store has.
	Crashes(ctx context.Context) (map[crashguard.Fingerprint]crashguard.Record, error)
}

// Saver hands departures of the upstream of this node to the store and to other nodes.
// Its exported fields are set before the first use. It is safe for concurrent use.
type Saver struct {
	Node  model.NodeID
	Held  *Departures
	Store Store
	// Replicate sends a departure to a few other nodes and calls confirmed for each
	// that has stored it, possibly concurrently. It returns when all sends have
	// succeeded or failed.
	Replicate func(ctx context.Context, d Departure, confirmed func())
	Guard     *contain.Guard
	Log       *zap.Logger

	mu    sync.Mutex
	saves map[upstream.Departure]*save
	// inStore are the departures that the store holds or is about to hold, the
	// oldest first.
	inStore []upstream.Departure
}

// save is one departure on its way to its holders.
type save struct {
	mu      sync.Mutex
	holders holders
	changed chan struct{} // closed at the next change of holders or of ended
	pending int           // attempts in progress, without repeated writes to the store
	ended   bool          // pending is 0
}

// holders counts who holds a departure beside this process.
type holders struct {
	store bool
	nodes int
}

func (h *holders) count() int {
	if h.store {
		return h.nodes + 1
	}
	return h.nodes
}

// update changes s and wakes those who wait for a change.
func (s *save) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *save) attemptEnded() { s.pending--; s.ended = s.pending == 0 }

// state returns the present holders, whether all first attempts have ended, and a
// channel that is closed at the next change.
func (s *save) state() (holders, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders, s.ended, s.changed
}

// RecordStored records departures that the store holds, the oldest first.
func (s *Saver) RecordStored(departures []upstream.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := slices.DeleteFunc(slices.Clone(departures), func(d upstream.Departure) bool { return slices.Contains(s.inStore, d) })
	s.inStore = append(earlier, s.inStore...)
}

// Save returns once a departure has enough holders, at the latest after saveTimeout.
// It returns ErrNotHeld if it has none. Sending continues in the background, so a
// later call for the same departure may succeed.
func (s *Saver) Save(d upstream.Departure) error {
	begun := time.Now()
	current, first := s.begin(d)
	timeout := time.NewTimer(saveTimeout)
	defer timeout.Stop()
	for waiting := true; waiting; {
		held, ended, changed := current.state()
		if held.nodes >= enoughHolders || ended {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		}
	}
	held, _, _ := current.state()
	fields := []zap.Field{
		zap.String("boot", d.ID), zap.Int64("born_ms", d.Start.UnixMilli()), zap.Bool("store", held.store), zap.Int("nodes", held.nodes), zap.Duration("took", time.Since(begun)),
	}
	if held.count() == 0 {
		s.Log.Warn("departure of the upstream is held by no other process; it is not acknowledged", fields...)
		return ErrNotHeld
	}
	if first {
		s.Log.Info("departure of the upstream is held by others", fields...)
	}
	return nil
}

// begin returns the save of a departure. It starts it if there is none, and sends the
// departure to other nodes again if it has no holder.
func (s *Saver) begin(d upstream.Departure) (current *save, first bool) {
	s.Held.Add([]Departure{{Node: s.Node, Departure: d}}, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.saves[d]
	if known {
		if current.restart() {
			s.replicate(d, current)
		}
		return current, false
	}
	if s.saves == nil || len(s.saves) >= 2*maxStored {
		s.saves = make(map[upstream.Departure]*save) // saving an old departure again does no harm
	}
	current = &save{changed: make(chan struct{}), pending: 2}
	s.saves[d] = current
	older := s.makeRoom(d)
	s.Guard.Go("save departure", func() { s.writeToStore(Departure{Node: s.Node, Departure: d}, older, current) })
	s.replicate(d, current)
	return current, true
}

// restart prepares s for another replication, and reports whether one is due: the
// departure has no holder, and no attempt is in progress.
func (s *save) restart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended || s.holders.count() > 0 {
		return false
	}
	s.ended, s.pending = false, 1
	return true
}

func (s *Saver) replicate(d upstream.Departure, current *save) {
	s.Guard.Go("replicate departure", func() {
		defer current.update(current.attemptEnded)
		s.Replicate(context.Background(), Departure{Node: s.Node, Departure: d}, func() { current.update(func() { current.holders.nodes++ }) })
	})
}

// makeRoom adds a departure to those in the store and returns the ones that are to be
// removed for it. The caller must hold s.mu.
func (s *Saver) makeRoom(d upstream.Departure) (older []upstream.Departure) {
	if slices.Contains(s.inStore, d) {
		return nil
	}
	s.inStore = append(s.inStore, d)
	excess := max(len(s.inStore)-maxStored, 0)
	older = slices.Clone(s.inStore[:excess])
	s.inStore = s.inStore[excess:]
	return older
}

// writeToStore writes a departure to the store, again and again if that fails.
func (s *Saver) writeToStore(d Departure, older []upstream.Departure, current *save) {
	for attempt := range maxStoreAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		err := s.Store.SaveDeparture(ctx, d, older)
		cancel()
		if attempt == 0 {
			current.update(func() {
				current.holders.store = err == nil
				current.attemptEnded()
			})
		}
		if err == nil {
			if attempt > 0 {
				current.update(func() { current.holders.store = true })
				s.Log.Info("departure of the upstream is written to the store", zap.String("boot", d.ID), zap.Int("attempts", attempt+1))
			}
			return
		}
		if attempt == 0 {
			s.Log.Warn("departure of the upstream cannot be written to the store yet", zap.String("boot", d.ID), zap.Error(err))
		}
		time.Sleep(storeRetryDelay)
	}
}
