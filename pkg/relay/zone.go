package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// PerZone is the number of relays of a zone. There are two because one may
	// fail unnoticed while a configuration version is accepted.
	PerZone = 2
	// allFollowLimit is the number of nodes of a zone up to which every node
	// follows the store. The few requests that relays would save are not worth
	// the delay after the loss of a relay.
	allFollowLimit = 4
	// maxRelaysWithoutStore is the number of nodes of a zone that may report that
	// the store does not respond to them. Above it, no further node becomes a
	// relay, because the store is then unavailable to all nodes or to most. When
	// each of 194 nodes tried, an outage of 8 s cost 5,000 requests.
	maxRelaysWithoutStore = 4
	// BeaconPeriod is the interval between two beacons of a relay. Three periods
	// must be shorter than BeaconTimeout. A shorter period costs a relay more
	// datagrams: with 300 ms it sends 1,300 a second (270 KB/s) to a zone of 400
	// nodes.
	BeaconPeriod = 300 * time.Millisecond
	// BeaconTimeout is the time without a beacon after which a node no longer
	// counts as a relay. It covers three beacons, since datagrams get lost.
	BeaconTimeout = 950 * time.Millisecond
	// MinApplyTime is the lower limit of the apply time (the time within which a
	// change must be in force) for a deployment to use relays. If the apply time
	// is shorter, every node follows the store. A relay whose request to the
	// store gets no response detects that after 1.2 s; the other nodes then
	// still have to receive its beacon and read the store.
	MinApplyTime = 3 * time.Second
)

// Order returns the nodes in the order in which they become relays. It does not
// change its argument.
func Order(ids []model.NodeID) []model.NodeID {
	ordered := slices.Clone(ids)
	slices.SortFunc(ordered, func(a, b model.NodeID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return ordered
}

// Zone is the view that one node has of the relays of its availability zone,
// from the beacons that it has received. All times that its methods receive and
// return are readings of one monotonic clock, with any origin. A Zone is not
// safe for concurrent use.
type Zone struct {
	// AllFollow makes every node a relay, so that it follows the store, whatever
	// the size of the zone.
	AllFollow bool

	self          model.NodeID
	beacons       map[model.NodeID]beacon
	expectedSince map[model.NodeID]time.Duration // time from which a node should send beacons
	lastBeacon    time.Duration                  // time of the last beacon
	lastHealthy   time.Duration                  // time of the last beacon of a relay with the store
	anyHealthy    bool                           // such a beacon was received
}

type beacon struct {
	at             time.Duration
	storeAvailable bool // the store responds to its sender
}

// NewZone returns the view of a node that starts now.
func NewZone(self model.NodeID, now time.Duration) *Zone {
	return &Zone{self: self, beacons: make(map[model.NodeID]beacon), expectedSince: make(map[model.NodeID]time.Duration), lastHealthy: now}
}

// RecordBeacon records a beacon of a relay that was received now.
// storeAvailable says whether the store responds to that relay. RecordBeacon reports
// whether the relay has lost the store since its last beacon, or says so in its first.
func (z *Zone) RecordBeacon(id model.NodeID, storeAvailable bool, now time.Duration) (lost bool) {
	last, known := z.beacons[id]
	lost = !storeAvailable && (!known || last.storeAvailable)
	z.beacons[id] = beacon{now, storeAvailable}
	z.lastBeacon = now
	if storeAvailable {
		z.lastHealthy, z.anyHealthy = now, true
	}
	return lost
}

// AnyWithoutStore reports whether a beacon of a relay to which the store does not
// respond was received within BeaconTimeout.
func (z *Zone) AnyWithoutStore(now time.Duration) bool {
	for _, b := range z.beacons {
		if !b.storeAvailable && now-b.at < BeaconTimeout {
			return true
		}
	}
	return false
}

// HasRelays reports whether a zone of the given size has relays, so that most of its
// nodes do not follow the store.
func (z *Zone) HasRelays(nodes int) bool { return !z.AllFollow && nodes > allFollowLimit }

// LastHealthy returns the time of the last beacon of a relay to which the store
// responds, or the start of this node if there was none.
func (z *Zone) LastHealthy() time.Duration { return z.lastHealthy }

// HasHealthyRelay reports whether a beacon of a relay to which the store
// responds was received within BeaconTimeout.
func (z *Zone) HasHealthyRelay(now time.Duration) bool {
	return z.anyHealthy && now-z.lastHealthy < BeaconTimeout
}

// StoreUnavailable reports whether beacons of relays were received within
// BeaconTimeout, but none of a relay to which the store responds.
func (z *Zone) StoreUnavailable(now time.Duration) bool {
	return now-z.lastBeacon < BeaconTimeout && z.lastHealthy < z.lastBeacon && now-z.lastHealthy >= BeaconTimeout
}

// Relays returns the relays of the zone as this node sees them. ordered holds the
// nodes of the zone as returned by Order; the result may share its memory. next
// is the time until the result may change without a further beacon, or 0 if it
// cannot.
func (z *Zone) Relays(ordered []model.NodeID, now time.Duration) (relays []model.NodeID, next time.Duration) {
	if z.AllFollow || len(ordered) <= allFollowLimit {
		return ordered, 0
	}
	recheckAfter := func(d time.Duration) {
		if next == 0 || d < next {
			next = d
		}
	}
	withoutStore := 0
	for i, id := range ordered {
		if len(relays) == PerZone || withoutStore > maxRelaysWithoutStore {
			for _, later := range ordered[i:] {
				delete(z.expectedSince, later)
			}
			break
		}
		if id == z.self {
			relays = append(relays, id)
			continue
		}
		if b, ok := z.beacons[id]; ok && !b.storeAvailable && now-b.at < BeaconTimeout {
			withoutStore++
			continue
		}
		if left := z.relayTimeLeft(id, now); left > 0 {
			relays = append(relays, id)
			recheckAfter(left)
		}
	}
	z.prune(ordered)
	return relays, next
}

// relayTimeLeft returns how long a node still counts as a relay without a
// further beacon, 0 if it no longer does.
func (z *Zone) relayTimeLeft(id model.NodeID, now time.Duration) time.Duration {
	since, ok := z.expectedSince[id]
	if !ok {
		since = now
		z.expectedSince[id] = now
	}
	if b, ok := z.beacons[id]; ok && b.storeAvailable {
		since = max(since, b.at)
	}
	return max(BeaconTimeout-(now-since), 0)
}

// prune removes the records of nodes that are no longer in the zone.
func (z *Zone) prune(ordered []model.NodeID) {
	if len(z.beacons)+len(z.expectedSince) <= 2*len(ordered) {
		return
	}
	for id := range z.beacons {
		if !slices.Contains(ordered, id) {
			delete(z.beacons, id)
		}
	}
	for id := range z.expectedSince {
		if !slices.Contains(ordered, id) {
			delete(z.expectedSince, id)
		}
	}
}
