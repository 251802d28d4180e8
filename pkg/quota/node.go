package quota

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// renewTick is the time between two checks of the delegations.
	renewTick = 50 * time.Millisecond
	// waitTick is the time between two checks of requests that wait.
	waitTick = 10 * time.Millisecond
	// idleTick is the time between two checks while no team has a limit.
	idleTick = time.Second
	// maxTickGap is the time between two checks from which on this process was not
	// running, so that it could not receive answers.
	maxTickGap = 250 * time.Millisecond
	// confirmLife is how long the fleet counts as confirmed after a datagram of another
	// node, and storeConfirmLife after a response of the store: a store in which nothing
	// changes responds every 29 s.
	confirmLife      = 10 * time.Second
	storeConfirmLife = 31 * time.Second
	// teamLife is how long the state of a team that sends no requests is kept.
	teamLife = 5 * time.Minute
	// teamShards is the number of parts of the table of teams.
	teamShards = 64
)

// Node is the part of one process in the quotas: it delegates the weight of the node,
// holds the weights of others, and gets tokens for the requests of this node. The
// exported fields are set before Init. Its methods are safe for concurrent use.
type Node struct {
	Self     model.NodeID
	Location model.Location
	Bounds   Bounds
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// Process is a random number that identifies this process.
	Process uint32
	// Clock returns the time since the VM was started, including the time in which it
	// was frozen.
	Clock func() time.Duration
	// Send sends a datagram. The bytes are valid until it returns.
	Send func(b []byte, to netip.AddrPort)
	// Limit returns the limit of the team with a hash of its name (Hash), and false if it
	// has none. Limited reports whether any team has a limit.
	Limit   func(team uint64) (Limit, bool)
	Limited func() bool
	// StoreSilence returns how long ago the store has responded to this node.
	StoreSilence func() time.Duration

	self    uint64
	started time.Duration
	holder  *holder
	shards  [teamShards]shard
	wake    chan struct{}

	number      atomic.Uint32
	areaCount   atomic.Uint32
	fleetSize   atomic.Uint32
	size        atomic.Uint32 // nodes that may have a weight
	areaVersion atomic.Uint32
	heardAt     atomic.Int64 // time of the last datagram of another node
	counters    counters

	activeMu sync.Mutex
	active   []*teamState // teams with requests that wait

	mu           sync.Mutex
	routing      routing
	census       *census
	peers        []Peer // as set last
	lease        time.Duration
	entitlements [Classes]entitlement
	weight       weight // that this node may delegate
	// usableAt is when this node may use its weight. What the process before has
	// delegated may be valid for a lease after the start; and other nodes, which may
	// know of more nodes than the first fleet has, need some time to say so.
	usableAt    time.Duration
	fleetNumber uint32 // of the first request with the current fleet
	lastTick    time.Duration
	nextRenew   time.Duration
	nextProbe   time.Duration
	nextSweep   time.Duration
	draining    bool
	left        bool
	scratch     scratch
	datagrams   [][]byte // to be sent when the mutex is released
	receivers   []netip.AddrPort
}

// scratch is memory of Handle, which is not called concurrently.
type scratch struct {
	request request
	answer  answer
	reply   []byte
}

// shard is one part of the table of teams.
type shard struct {
	mu    sync.RWMutex
	teams map[uint64]*teamState
}

// Hash returns the hash of the name of a team.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

func nodeHash(id model.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// Init prepares n for use. It must be called once, before any other method.
func (n *Node) Init() {
	n.self, n.started = nodeHash(n.Self), n.Clock()
	n.holder, n.census = newHolder(n.started), newCensus(n.self)
	n.routing = routing{self: n.self}
	n.wake = make(chan struct{}, 1)
	n.lease, n.lastTick = minLease, n.started
	for i := range n.shards {
		n.shards[i].teams = make(map[uint64]*teamState)
	}
	n.areaVersion.Store(1)
}

// SetFleet replaces the known nodes, which include this one once its row is known. It
// must not be called before the whole fleet was loaded. It sorts peers and keeps them.
func (n *Node) SetFleet(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	now := n.Clock()
	present := make(map[uint64]model.UpstreamNodeState, len(peers))
	for _, p := range peers {
		present[nodeHash(p.Name)] = p.State
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.census.loaded {
		n.usableAt = now + minLease
	}
	n.census.update(present, n.FirstStart, now)
	n.nextRenew = 0
	if n.routing.sameNodes(n.peers, peers) {
		n.routing.setStates(peers)
		n.peers = peers
		return
	}
	areas := n.routing.names()
	n.routing.update(n.Location, peers)
	n.peers = peers
	n.lease = minLease
	if len(n.routing.areas) > 0 {
		n.lease = leaseOf(n.routing.areas[0].size)
	}
	n.census.reportLife = n.lease
	n.fleetNumber = n.number.Load() + 1
	if !slices.Equal(areas, n.routing.names()) {
		n.areaVersion.Add(1)
	}
	n.areaCount.Store(uint32(len(n.routing.areas)))
	n.fleetSize.Store(uint32(len(peers)))
}

// Wake makes Run check at once, for example after the limits have changed. It does not
// block.
func (n *Node) Wake() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run renews delegations and ends requests that wait for too long until ctx ends. It
// returns nil.
func (n *Node) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t := time.NewTimer(n.Tick())
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-n.wake:
		}
		t.Stop()
	}
	return nil
}

// Tick does what is due and returns the time until the next call, unless Wake is called.
func (n *Node) Tick() time.Duration {
	now := n.Clock()
	n.mu.Lock()
	if now-n.lastTick > maxTickGap {
		n.routing.resume()
	}
	n.lastTick = now
	limited := n.Limited() && len(n.routing.areas) > 0
	if limited && now >= n.nextRenew {
		n.nextRenew = now + renewTick
		n.renew(now)
	}
	sweep := now >= n.nextSweep
	if sweep {
		n.nextSweep = now + teamLife/4
	}
	n.unlockAndSend()
	if sweep {
		n.sweepTeams(now)
	}
	switch waiting := n.stepTeams(now); {
	case waiting:
		return waitTick
	case limited:
		return renewTick
	}
	return idleTick
}

// unlockAndSend releases the mutex and sends the datagrams that were prepared.
func (n *Node) unlockAndSend() {
	datagrams, receivers := n.datagrams, n.receivers
	n.datagrams, n.receivers = nil, nil
	n.mu.Unlock()
	for i, b := range datagrams {
		n.counters.sent.Add(1)
		n.counters.sentBytes.Add(uint64(len(b)))
		n.Send(b, receivers[i])
	}
}

// Drain makes other nodes take over what they have delegated to this one. It is called
// when the process is about to end. leaves says that the row of this node is about to
// be removed: the node gives up its weight.
func (n *Node) Drain(leaves bool) {
	now := n.Clock()
	n.mu.Lock()
	n.draining, n.left = true, n.left || leaves
	n.nextRenew = 0
	for i := range n.holder.classes {
		a := answer{header: n.header(kindAnswer, uint8(i), 0), clock: now}
		a.flags = flagDraining
		for _, to := range n.holder.classes[i].drain(now) {
			n.queue(a.append(make([]byte, 0, answerBytes)), to)
		}
		if e := &n.entitlements[i]; e.holder == n.self {
			e.released()
		}
	}
	n.unlockAndSend()
	n.Wake()
}

func (n *Node) header(k kind, class uint8, number uint32) header {
	return header{kind: k, class: class, sender: n.self, process: n.Process, number: number, nodes: uint16(n.size.Load())}
}

// queue prepares a datagram to be sent. The mutex is held.
func (n *Node) queue(b []byte, to netip.AddrPort) {
	n.datagrams, n.receivers = append(n.datagrams, b), append(n.receivers, to)
}

// ownWeight returns the weight that this node may delegate now. The mutex is held.
func (n *Node) ownWeight(now time.Duration) weight {
	w := n.census.weight(now)
	switch {
	case n.left, now < max(n.started+n.lease+margin(n.lease), n.usableAt):
		return 0
	case n.census.present > 1 && now-time.Duration(n.heardAt.Load()) > confirmLife && n.StoreSilence() > storeConfirmLife:
		return 0
	}
	return w
}

// renew delegates the weight of this node in every class, and probes nodes that do not
// respond. The mutex is held.
func (n *Node) renew(now time.Duration) {
	if r, ok := n.localReport(now); ok {
		n.census.observe(n.routing.areas[0].name, r, n.census.digest, now)
	}
	n.size.Store(uint32(min(n.census.size(now), math.MaxUint16)))
	n.weight = n.ownWeight(now)
	for class := range n.entitlements {
		n.renewClass(uint8(class), now)
	}
	if now < n.nextProbe {
		return
	}
	n.nextProbe = now + time.Duration(renewShare*float64(n.lease))
	if !n.census.settled {
		for area := 1; area < len(n.routing.areas); area++ {
			if c, _ := n.routing.target(0, area, false, now); c != nil {
				n.request(kindDelegation, 0, c, flagProbe, 0, nil, now)
			}
		}
	}
	n.probe(now)
}

// localReport returns the report of this node as the holder of its area, if it is.
func (n *Node) localReport(now time.Duration) (report, bool) {
	if n.census.settled || n.entitlements[0].holder != n.self {
		return report{}, false
	}
	c := &n.holder.classes[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	return c.report(n.census.digest, now), true
}

// probe sends a request to candidates that do not respond, so that they are used again
// when they do.
func (n *Node) probe(now time.Duration) {
	for class := range uint8(Classes) {
		for area := range n.routing.areas {
			for _, c := range n.routing.areas[area].order[class] {
				if c.id != n.self && c.suspected(now) && now-c.lastProbe >= probeInterval {
					n.request(kindDelegation, class, c, flagProbe, 0, nil, now)
				}
				if c.usable(now) {
					break // those after it are not needed
				}
			}
		}
	}
}

// renewClass delegates the weight in a class if that is due. The mutex is held.
func (n *Node) renewClass(class uint8, now time.Duration) {
	e := &n.entitlements[class]
	target, self := n.routing.target(class, 0, !n.draining, now)
	want := uint64(0)
	switch {
	case self:
		want = n.self
	case target != nil:
		want = target.id
	}
	if want != e.holder && !n.redirect(e, class, want, now) {
		return
	}
	switch {
	case self:
		r := n.delegation(class, n.weight, now)
		r.echoClock, r.echoProcess = now, n.Process
		n.serveSelf(&r, now)
		e.commit(n.Process, now, n.lease)
	case target != nil && (e.urgent || now-e.sentAt >= time.Duration(renewShare*float64(n.lease))):
		n.request(kindDelegation, class, target, 0, n.weight, nil, now)
	}
}

// redirect makes the node want the holder of a class as soon as the one before has no
// valid delegation. It asks the one before to drop it, and reports whether it is done.
func (n *Node) redirect(e *entitlement, class uint8, want uint64, now time.Duration) bool {
	switch {
	case e.free(now):
	case e.holder == n.self:
		r := n.delegation(class, 0, now)
		r.flags |= flagRevoke
		n.serveSelf(&r, now)
	default:
		if c := n.routing.contacts[e.holder]; c != nil && !c.suspected(now) && (e.revoked == 0 || now-e.sentAt >= askTimeout) {
			e.revoked = n.request(kindDelegation, class, c, flagRevoke, 0, nil, now)
			e.sentAt = now
		}
		return false
	}
	*e = entitlement{holder: want, urgent: true, sentAt: now - n.lease}
	return true
}

// delegation returns a request without teams, and without an echo.
func (n *Node) delegation(class uint8, w weight, now time.Duration) request {
	r := request{header: n.header(kindDelegation, class, n.number.Add(1)), fleet: n.census.digest, weight: w, lease: n.lease}
	if !n.census.settled {
		r.flags |= flagUnsettled
	}
	return r
}

// serveSelf processes a request of this node as the holder.
func (n *Node) serveSelf(r *request, now time.Duration) {
	var a answer
	n.holder.classes[r.class].serve(r, netip.AddrPort{}, true, n.terms(), now, &a)
}

func (n *Node) terms() terms { return terms{n.Limit, n.Bounds, int(n.areaCount.Load())} }

// request prepares a request to another node and returns its number. The mutex is held.
func (n *Node) request(k kind, class uint8, to *contact, flags uint8, w weight, teams []want, now time.Duration) uint32 {
	r := n.delegation(class, w, now)
	r.kind, r.teams = k, teams
	r.flags |= flags
	e := &n.entitlements[class]
	if e.holder == to.id && flags&flagProbe == 0 {
		e.sentAt, e.urgent = now, false
	}
	if to.clockAt != 0 && now < to.clockAt+n.lease {
		r.echoClock, r.echoProcess = to.clock, to.process
		if w > 0 {
			e.commit(to.process, to.clockAt, n.lease)
			e.revoked = 0
		}
	} else {
		r.weight = 0
	}
	to.sent(now)
	n.queue(r.append(make([]byte, 0, requestBytes+len(teams)*wantBytes)), to.address)
	return r.number
}

// ask implements asker. Every ask to the holder that has the weight of this node is
// also a delegation.
func (n *Node) ask(area int, w want, class uint8) (uint32, *grant, weight) {
	now := n.Clock()
	n.counters.asks.Add(1)
	n.mu.Lock()
	if area >= len(n.routing.areas) {
		n.mu.Unlock()
		return 0, nil, 0
	}
	target, self := n.routing.target(class, area, !n.draining, now)
	if self {
		r := n.delegation(class, 0, now)
		n.mu.Unlock()
		r.flags |= flagProbe
		r.teams = []want{w}
		var a answer
		n.holder.classes[class].serve(&r, netip.AddrPort{}, true, n.terms(), now, &a)
		return r.number, &a.teams[0], a.weight
	}
	if target == nil {
		n.mu.Unlock()
		return n.number.Add(1), nil, 0
	}
	flags, own := uint8(flagProbe), weight(0)
	if e := &n.entitlements[class]; area == 0 && e.holder == target.id {
		flags, own = 0, n.weight
	}
	number := n.request(kindAsk, class, target, flags, own, []want{w}, now)
	n.unlockAndSend()
	return number, nil, 0
}

// fleet implements asker.
func (n *Node) fleet() (version uint32, areas, nodes int) {
	return n.areaVersion.Load(), int(n.areaCount.Load()), int(n.fleetSize.Load())
}

// Handle processes a datagram whose first byte is FirstByte. It must not be called
// concurrently. Malformed datagrams are ignored and counted.
func (n *Node) Handle(b []byte, from netip.AddrPort) {
	n.counters.received.Add(1)
	if len(b) < 2 {
		n.counters.malformed.Add(1)
		return
	}
	switch kind(b[1]) {
	case kindDelegation, kindAsk:
		n.handleRequest(b, from)
	case kindAnswer:
		n.handleAnswer(b)
	default:
		n.counters.malformed.Add(1)
	}
}

func (n *Node) handleRequest(b []byte, from netip.AddrPort) {
	r, a := &n.scratch.request, &n.scratch.answer
	if err := decodeRequest(b, r); err != nil {
		n.counters.malformed.Add(1)
		return
	}
	now := n.Clock()
	n.observeRequest(r, now)
	valid := r.echoProcess == n.Process && r.echoClock <= now
	n.holder.classes[r.class].serve(r, from, valid, n.terms(), now, a)
	flags := a.flags
	a.header = n.header(kindAnswer, r.class, r.number)
	a.flags, a.asker, a.clock = flags, r.process, now
	n.scratch.reply = a.append(n.scratch.reply[:0])
	n.counters.sent.Add(1)
	n.counters.sentBytes.Add(uint64(len(n.scratch.reply)))
	n.Send(n.scratch.reply, from)
}

// observeRequest records what a request says about its sender.
func (n *Node) observeRequest(r *request, now time.Duration) {
	n.heardAt.Store(int64(now))
	if uint32(r.nodes) <= n.size.Load() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.routing.contacts[r.sender] != nil {
		n.census.hear(r.nodes, now)
	}
}

func (n *Node) handleAnswer(b []byte) {
	a := &n.scratch.answer
	if err := decodeAnswer(b, a); err != nil {
		n.counters.malformed.Add(1)
		return
	}
	now := n.Clock()
	if !n.observeAnswer(a, now) {
		return
	}
	for _, g := range a.teams {
		t := n.lookup(g.team)
		if t == nil {
			continue
		}
		t.mu.Lock()
		t.receive(a.number, g, a.weight, now)
		t.step(now)
		t.mu.Unlock()
	}
}

// observeAnswer records what an answer says about its sender. It returns false if the
// answer belongs to no request of this process.
func (n *Node) observeAnswer(a *answer, now time.Duration) bool {
	draining := a.flags&flagDraining != 0
	n.mu.Lock()
	defer n.unlockAndSend()
	c := n.routing.contacts[a.sender]
	if c == nil || a.asker != n.Process && !(draining && a.asker == 0) {
		return false
	}
	n.heardAt.Store(int64(now))
	c.heard(a.process, a.clock, now, draining)
	n.census.hear(a.nodes, now)
	if a.flags&flagNotSettled != 0 {
		n.census.settled = false
		n.weight = n.ownWeight(now)
	}
	e := &n.entitlements[a.class]
	if e.holder == a.sender && (draining && e.process == a.process || e.revoked != 0 && a.number == e.revoked) {
		e.released()
		n.renewClass(a.class, now)
	} else if e.holder == a.sender && now >= e.until && n.weight > 0 && !draining {
		n.request(kindDelegation, a.class, c, 0, n.weight, nil, now) // the first with an echo
	}
	if a.flags&flagReport != 0 && int32(a.number-n.fleetNumber) >= 0 {
		n.observeReport(c, a, now)
	}
	return true
}

// observeReport records a report of the holder of an area. The mutex is held.
func (n *Node) observeReport(c *contact, a *answer, now time.Duration) {
	for i := range n.routing.areas {
		if target, self := n.routing.target(0, i, !n.draining, now); !self && target == c && a.class == 0 {
			n.census.observe(n.routing.areas[i].name, a.report, n.census.digest, now)
			return
		}
	}
}

// lookup returns the state of a team, nil if there is none.
func (n *Node) lookup(team uint64) *teamState {
	s := &n.shards[team%teamShards]
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams[team]
}

// teamOf returns the state of a team and makes it if there is none.
func (n *Node) teamOf(hash uint64, name string) *teamState {
	if t := n.lookup(hash); t != nil {
		return t
	}
	s := &n.shards[hash%teamShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[hash]
	if t == nil {
		t = &teamState{hash: hash, name: name, asker: n, lastUsed: n.Clock()}
		s.teams[hash] = t
	}
	return t
}

// stepTeams does what is due for teams with requests that wait, and reports whether
// there are any.
func (n *Node) stepTeams(now time.Duration) bool {
	n.activeMu.Lock()
	active := n.active
	n.active = nil
	n.activeMu.Unlock()
	for _, t := range active {
		t.mu.Lock()
		t.active = false
		t.step(now)
		n.activate(t)
		t.mu.Unlock()
	}
	n.activeMu.Lock()
	defer n.activeMu.Unlock()
	return len(n.active) > 0
}

// sweepTeams removes the state of teams that send no requests.
func (n *Node) sweepTeams(now time.Duration) {
	for i := range n.shards {
		s := &n.shards[i]
		s.mu.Lock()
		for hash, t := range s.teams {
			t.mu.Lock()
			if now-t.lastUsed > teamLife && len(t.waiting) == 0 {
				t.removed = true
				n.counters.addRemoved(t)
				delete(s.teams, hash)
			}
			t.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

// begin starts a request of a team. If there is no decision at once, it returns the
// locked state of the team, to which a waiter is to be added by wait.
func (n *Node) begin(name string, l Limit, deadline, now time.Duration) (*teamState, Decision, bool) {
	hash := Hash(name)
	for {
		t := n.teamOf(hash, name)
		t.mu.Lock()
		if t.removed {
			t.mu.Unlock()
			continue
		}
		if d, ok := t.decide(l, deadline, now); ok {
			t.mu.Unlock()
			return t, d, true
		}
		return t, Decision{}, false
	}
}

// wait adds a request to the ones that wait, and unlocks the state of the team.
// w.resolve may be called before wait returns. It is called with the lock held.
func (n *Node) wait(t *teamState, w *waiter, now time.Duration) {
	t.enqueue(w, now)
	first := n.activate(t)
	t.mu.Unlock()
	if first {
		n.Wake() // Run may be waiting for longer than waitTick
	}
}

// activate makes Tick process a team if requests of it wait, and reports whether it is
// the only one. t.mu is held.
func (n *Node) activate(t *teamState) (first bool) {
	if t.active || len(t.waiting) == 0 {
		return false
	}
	t.active = true
	n.activeMu.Lock()
	defer n.activeMu.Unlock()
	n.active = append(n.active, t)
	return len(n.active) == 1
}

// counters are the numbers of events of a node.
type counters struct {
	asks, sent, sentBytes, received, malformed atomic.Uint64

	mu      sync.Mutex
	removed map[string][verdicts]uint64 // of teams whose state was removed; "" for those without a series
}

// addRemoved keeps the counts of a team whose state is removed. t.mu is held.
func (c *counters) addRemoved(t *teamState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.removed == nil {
		c.removed = make(map[string][verdicts]uint64)
	}
	name := t.name
	if _, known := c.removed[name]; !known && len(c.removed) > maxRemoved {
		name = ""
	}
	sum := c.removed[name]
	for v := range sum {
		sum[v] += t.usage.total[v]
	}
	c.removed[name] = sum
}

// maxRemoved bounds the removed teams whose counts are kept apart.
const maxRemoved = 1000
