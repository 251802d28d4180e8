package quota

import "time"

const (
	// minLease is how long a delegation is valid in areas of up to leaseNodes nodes. In
	// larger ones it is longer, so that a holder gets no more requests.
	minLease   = time.Second
	leaseNodes = 200
	maxLease   = 20 * time.Second
	// renewShare is the time between two delegations as a share of the lease: two of
	// them may be lost.
	renewShare = 0.3
)

// leaseOf returns the lease in an area of a number of nodes.
func leaseOf(nodes int) time.Duration {
	return min(max(minLease, minLease*time.Duration(nodes)/leaseNodes), maxLease).Truncate(leaseUnit)
}

// entitlement is where the weight of this node in one class is delegated.
type entitlement struct {
	holder  uint64 // 0: to no node
	process uint32 // of the holder, to which the weight is committed
	// until is when the last delegation that the holder may count as valid has ended on
	// the clock of this node.
	until   time.Duration
	sentAt  time.Duration
	revoked uint32 // number of the request that has revoked the weight; 0 if there is none
	urgent  bool   // the next delegation is due
}

// free reports whether the weight may be delegated to another node.
func (e *entitlement) free(now time.Duration) bool { return e.holder == 0 || now >= e.until }

// released records that the holder has dropped the weight.
func (e *entitlement) released() {
	e.until = 0
}

// commit records a delegation that echoes the clock value received at clockAt.
func (e *entitlement) commit(process uint32, clockAt, lease time.Duration) {
	e.process = process
	e.until = max(e.until, clockAt+lease+margin(lease))
}
