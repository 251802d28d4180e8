package quota

import (
	"math"
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
	// count is the number of nodes that may have a weight, until recount.
	count   int
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
	digest := uint64(0)
	for id, state := range present {
		digest ^= id
		c.members[id] = standing{state: state}
	}
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
	if digest != c.digest {
		clear(c.reports) // they compare with the fleet before
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
	c.count, c.recount = 0, math.MaxInt64
	for _, s := range c.members {
		switch {
		case s.expires == 0:
			c.count++
		case now < s.expires:
			c.count++
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

// observe records the report of the holder of an area. fleet is what the request said
// that it responds to.
func (c *census) observe(area string, r report, fleet uint64, now time.Duration) {
	if fleet == c.digest {
		c.reports[area] = dated{r, now}
	}
}

// weight returns the share of every limit that this node is entitled to. It settles
// the node if the reports of all areas show that every node knows the same fleet.
func (c *census) weight(now time.Duration) weight {
	if !c.isMember() {
		return 0
	}
	c.hear(0, now)
	n := max(c.size(now), int(c.heard), int(c.heardBefore))
	full := unit / weight(n)
	if c.settled || c.present == 1 {
		return full
	}
	var all report
	for _, r := range c.reports {
		if now-r.at > c.reportLife {
			continue
		}
		all.same ^= r.same
		all.sameSettled += r.sameSettled
		all.sames += r.sames
		all.settled += r.settled
	}
	switch {
	case all.same == c.digest:
		c.settled = true
	case all.settled == 0 && now-c.since >= bootstrapAfter:
		c.settled = c.present-int(all.sames) <= max(1, c.present/bootstrapShare)
	}
	if c.settled {
		return full
	}
	// Each settled node that counts this one has given up a part of its weight for it.
	// The others may not know of it, and count as settled nodes that have given up
	// nothing. No settled node is reported twice: a holder reports it after a lease, when
	// the holder before no longer does.
	return weight(uint64(full) * uint64(all.sameSettled) / uint64(max(n-1, int(all.sameSettled))))
}
