package publisher

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Times of the publisher lease.
const (
	// LeaseDuration is how long a lease row counts after its last write.
	LeaseDuration = 6 * time.Second
	// renewInterval is the time between two renewals by the holder.
	renewInterval = 2 * time.Second
	// safetyMargin is how long before the expiry the holder stops. It covers
	// clocks of different rate.
	safetyMargin = time.Second
	// watchInterval is the time between two reads by a candidate.
	watchInterval = 2 * time.Second
	// handicapFactor times the duration of a read is how long a candidate
	// leaves a free lease to others, so that the publisher is near the store:
	// it polls twice a second, over a paid link if it is in another region.
	// With 24 ms for the way between regions and back it waits 0.96 s.
	handicapFactor = 40
	// maxHandicap bounds the wait when the store is slow for everyone.
	maxHandicap = time.Second
)

// leaseRow is the value of the lease row. Expiry is not stored: clocks of
// different VMs cannot be compared. A candidate measures with its own
// monotonic clock how long the row has not changed.
type leaseRow struct {
	Node       model.NodeID `json:"node"`
	Generation uint64       `json:"generation"` // grows with every takeover
	Released   bool         `json:"released,omitempty"`
}

// lease is what one process knows about the publisher lease. All its methods
// take the time as an argument; it does no I/O.
type lease struct {
	self     model.NodeID
	row      leaseRow
	revision uint64
	seenAt   time.Time // when this revision was first seen
	known    bool      // the row or its absence was read at least once
	held     bool
	mine     uint64    // generation under which this process holds the lease
	until    time.Time // the holder stops at this time
	nextAt   time.Time // next read or renewal
	handicap time.Duration
}

// measure takes in how long a read of the row took.
func (l *lease) measure(took time.Duration) {
	l.handicap = min(handicapFactor*took, maxHandicap)
}

// observe takes in a row that was read; revision 0 stands for an absent row.
func (l *lease) observe(now time.Time, row leaseRow, revision uint64) {
	if !l.known || revision != l.revision {
		l.row, l.revision, l.seenAt, l.known = row, revision, now, true
	}
	if l.row.Node != l.self || l.row.Generation != l.mine || l.row.Released {
		l.held = false
	}
}

// freeAt returns when a candidate may take the lease if the row stays as it is.
func (l *lease) freeAt() time.Time {
	if l.revision == 0 || l.row.Released {
		return l.seenAt.Add(l.handicap)
	}
	return l.seenAt.Add(LeaseDuration + l.handicap)
}

// free reports whether a candidate may take the lease.
func (l *lease) free(now time.Time) bool { return l.known && !now.Before(l.freeAt()) }

// holds reports whether this process may act as the publisher. A process that
// was paused finds the time passed.
func (l *lease) holds(now time.Time) bool { return l.held && now.Before(l.until) }

// next returns the row to write, or false if there is nothing to write now.
func (l *lease) next(now time.Time) (leaseRow, bool) {
	switch {
	case l.holds(now):
		return leaseRow{Node: l.self, Generation: l.mine}, true
	case l.free(now):
		return leaseRow{Node: l.self, Generation: l.row.Generation + 1}, true
	default:
		return leaseRow{}, false
	}
}

// written takes in a successful write. The lease counts from the time before
// the request was sent.
func (l *lease) written(sentAt, now time.Time, row leaseRow, revision uint64) {
	l.row, l.revision, l.seenAt, l.known = row, revision, now, true
	l.held, l.mine = !row.Released, row.Generation
	l.until = sentAt.Add(LeaseDuration - safetyMargin)
}

// wakeAt returns when the lease needs attention next: the holder renews, a
// candidate reads after watchInterval with jitter (0 to 1) or exactly when it
// may take the lease, which bounds a takeover to 9 s after the last renewal.
func (l *lease) wakeAt(now time.Time, jitter float64) time.Time {
	if l.holds(now) {
		return now.Add(renewInterval)
	}
	at := now.Add(time.Duration((0.5 + jitter/2) * float64(watchInterval)))
	if free := l.freeAt(); l.known && free.After(now) && free.Before(at) {
		return free
	}
	return at
}
