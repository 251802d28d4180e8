package membership

import (
	"sync/atomic"
	"time"
)

// Lease timing.
const (
	LeaseDuration = 9 * time.Second
	RenewInterval = 3 * time.Second
)

// lease is the own permission to take work from peers. It is read on the call
// path and judged by the monotonic clock at the moment of reading, so that a
// process that was paused past its lease stops with the first call after the
// pause.
type lease struct {
	start time.Time
	until atomic.Int64 // nanoseconds after start; 0 before the first lease
}

// LeaseState describes the own lease.
type LeaseState struct {
	Held      bool          `json:"held"`
	Remaining time.Duration `json:"remaining"` // nanoseconds; negative after expiry
	Ever      bool          `json:"ever"`      // a lease has been held since process start
}

// MayServe reports whether this node may take work from peers.
func (r *Roster) MayServe() bool {
	return int64(time.Since(r.lease.start)) < r.lease.until.Load()
}

// Lease returns the state of the own lease.
func (r *Roster) Lease() LeaseState {
	until := r.lease.until.Load()
	remaining := time.Duration(until) - time.Since(r.lease.start)
	return LeaseState{Held: until > 0 && remaining > 0, Remaining: remaining, Ever: until > 0}
}

// LeaseEnd returns when a lease ends. It counts from the moment at which the
// renewal was sent, because the granting node counts from a later one and must
// not take a node for gone that still takes work.
func LeaseEnd(sent time.Time, granted time.Duration) time.Time {
	return sent.Add(min(granted, LeaseDuration))
}

// Renewed extends the own lease after an answer to a renewal sent at sent.
func (r *Roster) Renewed(sent time.Time, granted time.Duration) {
	until := int64(LeaseEnd(sent, granted).Sub(r.lease.start))
	for {
		old := r.lease.until.Load()
		if until <= old || r.lease.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// Exemption says what a node knows when it cannot renew its lease.
type Exemption struct {
	OtherLive     int  // live entries of other nodes that are known
	Root          bool // this node is a zone root
	RootReachable bool // another root has answered since the last renewal
}

// Exempt reports whether the node may go on without a lease: it knows no other
// live node, or it is a root that reaches no other root. A partition must not
// stop a region.
func (e Exemption) Exempt() bool {
	return e.OtherLive == 0 || e.Root && !e.RootReachable
}

// Lapse ends the own lease at once. A node that is told to stop calls it.
func (r *Roster) Lapse() { r.lease.until.Store(1) }
