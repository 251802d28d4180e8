package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// PerZone is the number of relays of a zone: one may end without a sign
	// while a version is accepted.
	PerZone = 2
	// smallZone is the size of a zone up to which every node follows the store.
	// A few calls are not worth the time that a lost relay costs.
	allFollowLimit = 4
	// maxTurnedAway is how many nodes of a zone may say that the store does not
	// answer them before no further one takes over: it is then away for all, or
	// for most. With each node of 194 that tried, an outage of 8 s cost 5,000
	// calls.
	maxRelaysWithoutStore = 4
	// BeaconPeriod is the time between two beacons of a relay.
	BeaconPeriod = 300 * time.Millisecond
	// Silence is how long a relay may be silent before it is passed over: three
	// beacons, since datagrams get lost.
	BeaconTimeout = 950 * time.Millisecond
	// ShortestApply is the shortest time in which a change has to be in force
	// with which a zone has relays: a relay that the store leaves without an
	// answer notices that after 1.2 s, and the others have to hear of it and
	// read.
	MinApplyTime = 3 * time.Second
)

// Rank returns the nodes in the order in which they become relays.
func Order(ids []model.NodeID) []model.NodeID {
	ordered := slices.Clone(ids)
	slices.SortFunc(ordered, func(a, b model.NodeID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return ordered
}

// Zone is what a node has heard of the relays of its zone. Times are on any
// monotonic clock. It is not safe for concurrent use.
type Zone struct {
	// Everyone lets every node follow the store, however large the zone is.
	AllFollow bool

	self          model.NodeID
	beacons       map[model.NodeID]beacon
	expectedSince map[model.NodeID]time.Duration // since when a node should send beacons
	lastBeacon    time.Duration                  // last beacon
	lastHealthy   time.Duration                  // last beacon of a relay whose store answers
	anyHealthy    bool                           // there was one
}

type beacon struct {
	at             time.Duration
	storeAvailable bool // the store answers its sender
}

// NewZone returns the zone of a node that starts now.
func NewZone(self model.NodeID, now time.Duration) *Zone {
	return &Zone{self: self, beacons: make(map[model.NodeID]beacon), expectedSince: make(map[model.NodeID]time.Duration), lastHealthy: now}
}

// Hear notes a beacon of a relay; store says that the store answers it.
func (z *Zone) RecordBeacon(id model.NodeID, storeAvailable bool, now time.Duration) {
	z.beacons[id] = beacon{now, storeAvailable}
	z.lastBeacon = now
	if storeAvailable {
		z.lastHealthy, z.anyHealthy = now, true
	}
}

// LastHealthy returns when a relay whose store answers was last heard, or when
// this node started.
func (z *Zone) LastHealthy() time.Duration { return z.lastHealthy }

// Served reports whether a relay whose store answers was heard a moment ago.
func (z *Zone) HasHealthyRelay(now time.Duration) bool {
	return z.anyHealthy && now-z.lastHealthy < BeaconTimeout
}

// TurnedAway reports whether relays were heard a moment ago, and the store
// answers none of them.
func (z *Zone) StoreUnavailable(now time.Duration) bool {
	return now-z.lastBeacon < BeaconTimeout && z.lastHealthy < z.lastBeacon && now-z.lastHealthy >= BeaconTimeout
}

// Relays returns the relays among the ranked nodes of the zone, as this node
// sees them, and the time until that may change without a further beacon, 0 if
// it may not.
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

// trusted returns how long a node counts as a relay without a further beacon,
// 0 if it does not.
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

// forget drops what was heard of nodes that are no longer in the zone.
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
