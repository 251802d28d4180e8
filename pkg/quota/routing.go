package quota

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Peer is a node as it is known from the fleet.
type Peer struct {
	Name     model.NodeID
	Location model.Location
	State    model.UpstreamNodeState
	Address  netip.AddrPort // for datagrams
}

const (
	// suspectAfter is how long a node must not have responded to several requests for
	// another one to be used in its place. Nodes with a sixth of a core pause for up to
	// 0.2 s.
	suspectAfter = 350 * time.Millisecond
	// probeInterval is the time between two requests to a node that does not respond.
	probeInterval = time.Second
	// stableAfter is how long such a node must have responded again to be used, so that
	// weights do not move back and forth.
	stableAfter = 2 * time.Second
	// recentContact is how long a response counts for more than the state in the fleet.
	recentContact = 2 * time.Second
	// candidates is the number of nodes that are tried as the holder of a class in an
	// area.
	candidates = 5
	// smallAreaShare is the part of the mean number of nodes below which an area is
	// joined to the largest one. The weight of a few nodes is too little for a token.
	smallAreaShare = 0.5
)

// contact is what this node knows about another one.
type contact struct {
	id      uint64
	address netip.AddrPort
	state   model.UpstreamNodeState
	// clock is the last clock value of the node, of its process, received at clockAt.
	clock           time.Duration
	process         uint32
	clockAt         time.Duration
	unanswered      int // requests since the last response
	unansweredSince time.Duration
	suspectedUntil  time.Duration // it responds again, but not for long
	drainingProcess uint32
	lastProbe       time.Duration
}

// suspected reports whether the node does not respond.
func (c *contact) suspected(now time.Duration) bool {
	return c.unanswered >= 2 && now-c.unansweredSince >= suspectAfter
}

// usable reports whether the node may be a holder.
func (c *contact) usable(now time.Duration) bool {
	heard := c.clockAt != 0 && now-c.clockAt < recentContact
	return !c.draining() && !c.suspected(now) && now >= c.suspectedUntil && (heard || c.state != model.Unreachable)
}

func (c *contact) draining() bool { return c.drainingProcess != 0 && c.drainingProcess == c.process }

// sent records a request to the node.
func (c *contact) sent(now time.Duration) {
	if c.unanswered == 0 {
		c.unansweredSince = now
	}
	c.unanswered++
	c.lastProbe = now
}

// heard records a response with a clock value.
func (c *contact) heard(process uint32, clock, now time.Duration, draining bool) {
	if c.suspected(now) {
		c.suspectedUntil = now + stableAfter
	}
	c.unanswered = 0
	if c.process != process || clock > c.clock {
		c.process, c.clock, c.clockAt = process, clock, now
	}
	if draining {
		c.drainingProcess = process
	}
}

// area is a region, or an availability zone if there is only one region, with the
// candidates for the holders of each class, best first.
type area struct {
	name  string
	order [Classes][]*contact
	self  bool // it is the area of this node
	size  int  // number of nodes
}

// routing determines the holders of the areas.
type routing struct {
	self     uint64
	contacts map[uint64]*contact
	areas    []area // the own one first, then by name
}

// update rebuilds the areas from the fleet. own is where this node is; its row may still
// be missing.
func (r *routing) update(own model.Location, peers []Peer) {
	names, ownName := areaNames(own, peers)
	byArea := make(map[string][]*contact)
	contacts := make(map[uint64]*contact, len(peers))
	for i, p := range peers {
		c := r.contacts[nodeHash(p.Name)]
		if c == nil {
			c = &contact{id: nodeHash(p.Name)}
		}
		c.address, c.state = p.Address, p.State
		contacts[c.id] = c
		byArea[names[i]] = append(byArea[names[i]], c)
	}
	r.contacts, r.areas = contacts, r.areas[:0:0]
	for name, members := range byArea {
		a := area{name: name, size: len(members), self: name == ownName}
		for class := range a.order {
			byScore := func(x, y *contact) int { return cmp.Compare(score(uint8(class), y.id), score(uint8(class), x.id)) }
			ordered := slices.SortedFunc(slices.Values(members), byScore)
			a.order[class] = slices.Clone(ordered[:min(len(ordered), candidates)])
		}
		r.areas = append(r.areas, a)
	}
	slices.SortFunc(r.areas, func(x, y area) int {
		if x.self != y.self {
			if x.self {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.name, y.name)
	})
}

// sameNodes reports whether two lists, which are sorted by name, differ at most in the
// states of the nodes.
func (r *routing) sameNodes(before, after []Peer) bool {
	return len(r.areas) > 0 && slices.EqualFunc(before, after, func(a, b Peer) bool {
		a.State = b.State
		return a == b
	})
}

// setStates sets the states of the nodes of the last update.
func (r *routing) setStates(peers []Peer) {
	for _, p := range peers {
		r.contacts[nodeHash(p.Name)].state = p.State
	}
}

// areaNames returns the name of the area of each node, and of this one. The nodes of
// small areas belong to the largest area.
func areaNames(own model.Location, peers []Peer) (names []string, ownName string) {
	zones := true
	for _, p := range peers {
		zones = zones && p.Location.Region == own.Region
	}
	nameOf := func(l model.Location) string {
		if zones {
			return string(l.AvailabilityZone)
		}
		return string(l.Region)
	}
	names, sizes := make([]string, len(peers)), make(map[string]int)
	for i, p := range peers {
		names[i] = nameOf(p.Location)
		sizes[names[i]]++
	}
	largest := ""
	for name, size := range sizes {
		if size > sizes[largest] || size == sizes[largest] && name < largest {
			largest = name
		}
	}
	joined := func(name string) string {
		if float64(sizes[name]*len(sizes)) < smallAreaShare*float64(len(peers)) {
			return largest
		}
		return name
	}
	for i, name := range names {
		names[i] = joined(name)
	}
	return names, joined(nameOf(own))
}

// target returns the holder of a class in an area: another node, or this one if it is
// usable. It returns nil and false if there is none.
func (r *routing) target(class uint8, area int, selfUsable bool, now time.Duration) (c *contact, self bool) {
	for _, c := range r.areas[area].order[class] {
		if c.id == r.self {
			if selfUsable {
				return nil, true
			}
			continue
		}
		if c.usable(now) {
			return c, false
		}
	}
	if r.areas[area].self {
		return nil, selfUsable
	}
	return r.areas[area].order[class][0], false
}

// resume forgets that requests were not answered. It is called after this process was
// not running for some time, in which it could not receive the answers.
func (r *routing) resume() {
	for _, c := range r.contacts {
		c.unanswered = 0
	}
}

// names returns the names of the areas.
func (r *routing) names() (names []string) {
	for i := range r.areas {
		names = append(names, r.areas[i].name)
	}
	return names
}
