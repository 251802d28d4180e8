package recovery

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

const (
	// maxStored is the number of departures that the store keeps for one node, the
	// newest ones.
	maxStored = 8
	// maxHeld is the number of departures that are kept in memory for one node, the
	// newest ones: those that the store returns and those that only other nodes have.
	// It is the number that an upstream.Tracker keeps.
	maxHeld = 64
	// maxDepartures bounds the departures of all nodes together. One has about 150
	// bytes in memory.
	maxDepartures = 4096
	// keepTime is how long a departure of another node is kept. A boot ends seconds
	// after its departure, and its late reports arrive within upstream.MaxReportDelay.
	keepTime = 5 * time.Minute
	// maxNameBytes bounds the names in a departure, in bytes.
	maxNameBytes = 200
)

// Departure is a boot of the upstream beside a node that gets no further requests.
type Departure struct {
	Node model.NodeID `json:"node"`
	upstream.Departure
	// AgeMillis is how long the sender has held the departure, or those from which
	// it got it, in milliseconds. A node that passes a departure on does not make it
	// younger. It is 0 in the store, where the age is not known.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

var (
	errDepartureName = errors.New("is missing, has more than 200 bytes or a control character")
	errDepartureAge  = errors.New("age is negative")
)

// Check returns an error if d cannot be used. Departures come from other nodes and
// from rows of the store.
func (d *Departure) Check() error {
	for field, name := range map[string]string{"node": string(d.Node), "boot": d.ID} {
		if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, unicode.IsControl) || !utf8.ValidString(name) {
			return fmt.Errorf("%s %w", field, errDepartureName)
		}
	}
	if d.AgeMillis < 0 {
		return errDepartureAge
	}
	return nil
}

// Departures holds the departures that this node knows of, of its own upstream and of
// those of other nodes. It is safe for concurrent use.
type Departures struct {
	began    time.Time
	mu       sync.Mutex
	byNode   map[model.NodeID][]heldDeparture
	count    int
	complete map[model.NodeID]bool
}

type heldDeparture struct {
	upstream.Departure
	since time.Time
}

// NewDepartures returns an empty Departures of a process that started at began, or of
// one without earlier processes if began is zero.
func NewDepartures(began time.Time) *Departures {
	return &Departures{began: began, byNode: make(map[model.NodeID][]heldDeparture), complete: make(map[model.NodeID]bool)}
}

// RecordComplete records that all departures which the node id holds of its own upstream
// have been added.
func (h *Departures) RecordComplete(id model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.complete) < maxComplete {
		h.complete[id] = true
	}
}

// maxComplete bounds the nodes for which RecordComplete is remembered. A node is a holder
// for a few others.
const maxComplete = 4096

// CompleteFor reports whether no departure of a node's upstream is missing that was sent
// to this process or to earlier ones of its node, as far as late reports may still
// follow it.
func (h *Departures) CompleteFor(id model.NodeID, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.began) >= upstream.MaxReportDelay || h.complete[id]
}

// Add adds departures, which were received now. One that is held already keeps the
// lower of its two ages.
func (h *Departures) Add(departures []Departure, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range departures {
		if d.AgeMillis < keepTime.Milliseconds() {
			h.add(d.Node, heldDeparture{d.Departure, now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)})
		}
	}
	if h.count > maxDepartures {
		h.removeExpired(now)
	}
	for h.count > maxDepartures {
		h.removeOldest()
	}
}

// add adds a departure of a node. The departures of each node are in the order of
// their ages, the oldest first. The caller must hold h.mu.
func (h *Departures) add(id model.NodeID, d heldDeparture) {
	held := h.byNode[id]
	h.count -= len(held)
	if i := slices.IndexFunc(held, func(o heldDeparture) bool { return o.Departure == d.Departure }); i >= 0 {
		if held[i].since.After(d.since) {
			d.since = held[i].since
		}
		held = slices.Delete(held, i, i+1)
	}
	at := len(held)
	for at > 0 && held[at-1].since.After(d.since) {
		at--
	}
	held = slices.Insert(held, at, d)
	held = held[max(len(held)-maxHeld, 0):]
	h.byNode[id] = held
	h.count += len(held)
}

// Of returns the departures of a node's upstream, the oldest first.
func (h *Departures) Of(id model.NodeID) []upstream.Departure {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []upstream.Departure
	for _, d := range h.byNode[id] {
		all = append(all, d.Departure)
	}
	return all
}

// Held returns the departures of a node's upstream that are held now.
func (h *Departures) Held(id model.NodeID, now time.Time) (all []Departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	return h.sent(id, now)
}

// sent returns the departures of a node's upstream as they are sent. The caller must hold
// h.mu.
func (h *Departures) sent(id model.NodeID, now time.Time) (all []Departure) {
	for _, d := range h.byNode[id] {
		all = append(all, Departure{id, d.Departure, now.Sub(d.since).Milliseconds()})
	}
	return all
}

// All returns the departures that are held now, in the order of their nodes.
func (h *Departures) All(now time.Time) []Departure {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	all := make([]Departure, 0, h.count)
	for id := range h.byNode {
		all = append(all, h.sent(id, now)...)
	}
	slices.SortStableFunc(all, func(a, b Departure) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// removeExpired removes the departures that have been held for keepTime. The caller
// must hold h.mu.
func (h *Departures) removeExpired(now time.Time) {
	for id, held := range h.byNode {
		h.count -= len(held)
		held = slices.DeleteFunc(held, func(d heldDeparture) bool { return now.Sub(d.since) >= keepTime })
		h.count += len(held)
		if h.byNode[id] = held; len(held) == 0 {
			delete(h.byNode, id)
		}
	}
}

// removeOldest removes the departure that has been held the longest. The caller must
// hold h.mu.
func (h *Departures) removeOldest() {
	var oldest model.NodeID
	var since time.Time
	for id, held := range h.byNode {
		if oldest == "" || held[0].since.Before(since) {
			oldest, since = id, held[0].since
		}
	}
	if h.byNode[oldest] = h.byNode[oldest][1:]; len(h.byNode[oldest]) == 0 {
		delete(h.byNode, oldest)
	}
	h.count--
}
