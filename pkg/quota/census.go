package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// leftAfter is how long a node counts after its row was removed, if it was not
	// serving before: it has given up its weight before it removed its row, and its
	// last delegations end within a lease.
	leftAfter = 4 * time.Second
	// goneAfter is the same if it was serving before, as far as is known. It covers the
	// time in which the node learns that its row is gone.
	goneAfter = 15 * time.Second
	// lostAfter is the same if it was unreachable before. It may be alive on the other
	// side of a partition, where it does not learn that its row is gone, and use its
	// weight with the nodes there.
	lostAfter = 30 * time.Minute
	// heardFor is how long the number of nodes that another node has stated counts at
	// least. The other node may remember nodes that this one does not, because it was
	// started later.
	heardFor = 15 * time.Second
	// bootstrapAfter is how long a node that finds no settled node waits for all others to
	// agree on one fleet, and bootstrapShare the part of them that may be missing after
	// that. They apply if all nodes start for the first time and some of them die before
	// they have sent a delegation.
	bootstrapAfter = 15 * time.Second
	bootstrapShare = 10
)

// census determines the weight of one node from the nodes that it knows. A node is
// settled if every other node counts it. The weights of all nodes together are at most
// one, because each settled node has 1/N of the limits, where N counts all nodes that
// may have a weight, and a node that is not settled has only what settled nodes are
// known to have given up for it.
type census struct {
	self    uint64
	members map[uint64]standing
	digest  uint64 // exclusive or of the hashes of the present nodes
	present int
	loaded  bool
	settled bool
	joined  joiners
	// count is the number of nodes that may have a weight, and all the exclusive or of
	// their hashes, until recount.
	count   int
	all     uint64
	recount time.Duration
	since   time.Duration // when this node was first present
	reports map[string]dated
	// heard is the largest number of nodes that another node has stated since heardSince,
	// and heardBefore the largest one in heardFor before that.
	heard, heardBefore uint16
	heardSince         time.Duration
	// reportLife is how long a report of a holder is used.
	reportLife time.Duration
}

// standing is what is known of one node.
type standing struct {
	state   model.UpstreamNodeState
	goneAt  time.Duration
	expires time.Duration // 0 while the node is present
}

type dated struct {
	report
	at time.Duration
}

func newCensus(self uint64) *census {
	return &census{self: self, members: make(map[uint64]standing), reports: make(map[string]dated)}
}

// update replaces the known nodes. A node that finds its own row in the first fleet
// that it loads has been counted before it was started, unless the whole deployment
// starts for the first time.
func (c *census) update(present map[uint64]model.UpstreamNodeState, firstStart bool, now time.Duration) {
	digest, joined := uint64(0), []uint64(nil)
	for id, state := range present {
		digest ^= id
		if s, known := c.members[id]; c.loaded && (!known || s.expires != 0) {
			joined = append(joined, id)
		}
		c.members[id] = standing{state: state}
	}
	c.joined = c.joined.with(joined, now)
	for id, s := range c.members {
		if _, ok := present[id]; ok {
			continue
		}
		switch {
		case s.expires == 0:
			s.goneAt, s.expires = now, now+retention(s.state)
			c.members[id] = s
		case now >= s.expires:
			delete(c.members, id)
		}
	}
	c.recount = 0
	_, isMember := present[c.self]
	switch {
	case !isMember:
		c.settled, c.since = false, 0
	case !c.loaded && !firstStart:
		c.settled, c.since = true, now
	case c.since == 0:
		c.since = now
	}
	c.digest, c.present, c.loaded = digest, len(present), true
}

func retention(s model.UpstreamNodeState) time.Duration {
	switch s {
	case model.NotServing:
		return leftAfter
	case model.Unreachable:
		return lostAfter
	}
	return goneAfter
}

// size returns the number of nodes that may have a weight, as far as this node knows
// itself.
func (c *census) size(now time.Duration) int {
	if now < c.recount {
		return c.count
	}
	c.count, c.all, c.recount = 0, 0, math.MaxInt64
	for id, s := range c.members {
		if s.expires != 0 && now >= s.expires {
			continue
		}
		c.count++
		c.all ^= id
		if s.expires != 0 {
			c.recount = min(c.recount, s.expires)
		}
	}
	return c.count
}

// hear records the number of nodes that another node has stated.
func (c *census) hear(nodes uint16, now time.Duration) {
	switch passed := now - c.heardSince; {
	case passed >= 2*heardFor:
		c.heard, c.heardBefore, c.heardSince = 0, 0, now
	case passed >= heardFor:
		c.heard, c.heardBefore, c.heardSince = 0, c.heard, now
	}
	c.heard = max(c.heard, nodes)
}

// isMember reports whether this node is in the fleet that it knows.
func (c *census) isMember() bool { return c.since != 0 }

// observe records the report of the holder of an area.
func (c *census) observe(area string, r report, now time.Duration) { c.reports[area] = dated{r, now} }

// weight returns the share of every limit that this node is entitled to. It settles
// the node if the reports of all areas show that every node counts it.
func (c *census) weight(now time.Duration) weight {
	if !c.isMember() {
		return 0
	}
	c.hear(0, now)
	n := max(c.size(now), int(c.heard), int(c.heardBefore))
	full := unit / weight(n)
	if c.settled || n == 1 {
		return full
	}
	var all report
	for _, r := range c.reports {
		if now-r.at > c.reportLife {
			continue
		}
		all.counting ^= r.counting
		all.countingSettled += r.countingSettled
		all.nodes += r.nodes
		all.settled += r.settled
	}
	// Nodes that have gone, or that only others know, may have a weight and not count this
	// one.
	switch known := c.size(now) == n; {
	case known && all.counting == c.all:
		c.settled = true
	case known && all.settled == 0 && now-c.since >= bootstrapAfter:
		c.settled = n-int(all.nodes) <= max(1, n/bootstrapShare)
	}
	if c.settled {
		return full
	}
	// Each settled node that counts this one has given up a part of its weight for it.
	// The others may not know of it, and count as settled nodes that have given up
	// nothing. No settled node is reported twice: a holder reports it after a lease, when
	// the holder before no longer does.
	return weight(uint64(full) * uint64(all.countingSettled) / uint64(max(n-1, int(all.countingSettled))))
}

const (
	// knownFleets is the number of fleets that are remembered of each node that delegates,
	// and keptFleets that of this node. While nodes join or leave, nodes know different
	// fleets.
	knownFleets = 3
	keptFleets  = 8
)

// joinMemory is how long it is remembered that a node has joined. It has settled by then,
// unless nodes behind a cut do not know it.
const joinMemory = time.Minute

// joiners are the nodes that have joined the fleet while this process was running, and
// when. It is immutable.
type joiners map[uint64]time.Duration

// has reports whether a node has joined lately.
func (j joiners) has(node uint64, now time.Duration) bool {
	at, ok := j[node]
	return ok && now-at < joinMemory
}

// with returns the nodes that have joined lately, and new ones.
func (j joiners) with(nodes []uint64, now time.Duration) joiners {
	if len(nodes) == 0 {
		return j
	}
	next := make(joiners, len(nodes))
	for id, at := range j {
		if now-at < joinMemory {
			next[id] = at
		}
	}
	for _, id := range nodes {
		next[id] = now
	}
	return next
}

// fleets are the last fleets that this node has known, the newest first. It is immutable.
type fleets []knownFleet

// knownFleet has the hashes of the nodes of a fleet, sorted.
type knownFleet struct {
	digest uint64
	nodes  []uint64
}

// include reports whether the fleet with a digest is known and has a node.
func (f fleets) include(digest, node uint64) bool {
	for i := range f {
		if f[i].digest == digest {
			_, ok := slices.BinarySearch(f[i].nodes, node)
			return ok
		}
	}
	return false
}

// with returns the fleets with a new one. It returns f if that is the newest already.
func (f fleets) with(digest uint64, present map[uint64]model.UpstreamNodeState) fleets {
	if len(f) > 0 && f[0].digest == digest {
		return f
	}
	next := fleets{{digest, slices.Sorted(maps.Keys(present))}}
	return append(next, f[:min(len(f), keptFleets-1)]...)
}
