package quota

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// holder holds what other nodes and this one have delegated, and grants tokens for it.
// Its methods are safe for concurrent use.
type holder struct {
	classes [Classes]class
}

// class is the part of a holder for one class of teams.
type class struct {
	mu          sync.Mutex
	draining    bool
	delegations map[uint64]*delegation // by the hash of the node
	weight      uint64                 // sum of the valid weights, in units of weight
	// at is the time up to which minted is known. minted is the integral of weight over
	// time in seconds, and mintedAtChange its value when weight has last changed.
	at             time.Duration
	minted         float64
	mintedAtChange float64
	nextExpiry     time.Duration // of a delegation with a weight; 0 if there is none
	buckets        map[uint64]*bucket
	nextSweep      time.Duration
}

// delegation is what a holder knows about a node that sends it requests.
type delegation struct {
	process   uint32
	number    uint32 // of the newest request
	weight    weight
	until     time.Duration // of the weight
	present   time.Duration // until when the node counts in reports
	keep      time.Duration // until when number is needed to reject late requests
	fleet     uint64
	since     time.Duration // when the node has first sent fleet
	lease     time.Duration
	unsettled bool
	// unsettledProcess is the last process of the node that was not settled, 0 if it has
	// settled since.
	unsettledProcess uint32
	from             netip.AddrPort
}

// observeSettled records whether the node calls itself settled. If it does although the
// process before did not, it has read its own row and nobody else may know of it: then
// it counts as not settled, and contradicted is true.
func (d *delegation) observeSettled(r *request) (contradicted bool) {
	switch unsettled := r.flags&flagUnsettled != 0; {
	case unsettled:
		d.unsettledProcess = r.process
	case d.unsettledProcess == r.process:
		d.unsettledProcess = 0
	default:
		contradicted = d.unsettledProcess != 0
	}
	d.unsettled = d.unsettledProcess != 0
	return contradicted
}

// bucket holds the tokens of one team.
type bucket struct {
	plan      plan
	limit     Limit
	tokens    float64
	allowance float64       // for prefetched tokens
	minted    float64       // class.minted up to which tokens and allowance are settled
	promised  time.Duration // up to which the tokens to be minted are promised to askers
	lastAsk   time.Duration
	granted   uint64
	denied    uint64
}

const (
	// maxPromise bounds the time for which tokens are promised in advance. A longer one
	// would keep nodes from asking although others have stopped.
	maxPromise = time.Second
	// minFill is the level of a bucket, as a share of its cap, above which tokens are
	// prefetched: they are lost if the node does not need them.
	minFill = 0.75
	// noWeightRetry is when a holder without a weight expects to have one.
	noWeightRetry = 100 * time.Millisecond
	// bucketLife is how long an unused bucket is kept.
	bucketLife = time.Minute
	// rememberUnsettled is how long a holder remembers that a node was not settled. A
	// process that ends is started again within seconds.
	rememberUnsettled = time.Minute
	// sweepInterval is the time between two removals of unused buckets and of nodes that
	// have sent no request for long.
	sweepInterval = 10 * time.Second
	// roundingError is added before a number of tokens is rounded down.
	roundingError = 1e-9
)

func newHolder(now time.Duration) *holder {
	h := &holder{}
	for i := range h.classes {
		h.classes[i] = class{delegations: make(map[uint64]*delegation), buckets: make(map[uint64]*bucket), at: now}
	}
	return h
}

// margin covers the drift of two clocks of up to 200 ppm each over a lease, and the
// rounding of the lease.
func margin(lease time.Duration) time.Duration { return 5*time.Millisecond + lease/500 }

// advance accounts for the time up to now. The mutex is held.
func (c *class) advance(now time.Duration) {
	for c.nextExpiry != 0 && c.nextExpiry <= now {
		c.mint(c.nextExpiry)
		at := c.nextExpiry
		c.nextExpiry = 0
		expired := uint64(0)
		for _, d := range c.delegations {
			switch {
			case d.weight == 0:
			case d.until <= at:
				expired += uint64(d.weight)
				d.weight = 0
			case c.nextExpiry == 0 || d.until < c.nextExpiry:
				c.nextExpiry = d.until
			}
		}
		c.setWeight(c.weight - expired)
	}
	c.mint(now)
	c.sweep(now)
}

// mint accounts for the time up to t, in which weight was valid.
func (c *class) mint(t time.Duration) {
	if t > c.at {
		c.minted += float64(c.weight) / float64(unit) * (t - c.at).Seconds()
		c.at = t
	}
}

// setWeight changes the sum of the weights at the time c.at. The tokens of all buckets
// are settled before, because the cap so far applies to them, and cut to the new cap.
func (c *class) setWeight(w uint64) {
	if w == c.weight {
		return
	}
	for _, b := range c.buckets {
		c.settle(b)
	}
	c.weight, c.mintedAtChange = w, c.minted
	for _, b := range c.buckets {
		c.settle(b)
	}
}

func (c *class) share() float64 { return min(float64(c.weight)/float64(unit), 1) }

// settle adds the tokens that were minted since the last call, and cuts them to the cap.
func (c *class) settle(b *bucket) {
	minted := c.minted - b.minted
	b.minted = c.minted
	b.tokens = min(b.tokens+b.plan.rate*minted, b.plan.cap*c.share())
	b.allowance = min(b.allowance+b.plan.prefetch*minted/prefetchLife.Seconds(), b.plan.prefetch*c.share())
}

// bucketOf returns the bucket of a team, settled. A team without a bucket has what it
// would have if it had used all tokens up to the last change of the weight. Of a changed
// limit, the lower rate applies to the time since the last call.
func (c *class) bucketOf(team uint64, l Limit, p plan) *bucket {
	b := c.buckets[team]
	if b == nil {
		b = &bucket{plan: p, limit: l, minted: c.mintedAtChange}
		c.buckets[team] = b
	}
	if b.plan != p {
		b.plan.rate = min(b.plan.rate, p.rate)
		c.settle(b)
		b.plan, b.limit = p, l
	}
	c.settle(b)
	return b
}

// sweep removes buckets that are not used, and nodes that have not been heard of. The
// mutex is held.
func (c *class) sweep(now time.Duration) {
	if now < c.nextSweep {
		return
	}
	c.nextSweep = now + sweepInterval
	for team, b := range c.buckets {
		// One that is not full would be full when it is made again.
		if c.settle(b); now-b.lastAsk > bucketLife && b.tokens >= b.plan.cap*c.share() && b.allowance >= b.plan.prefetch*c.share() {
			delete(c.buckets, team)
		}
	}
	for id, d := range c.delegations {
		if d.weight == 0 && d.keep <= now {
			delete(c.delegations, id)
		}
	}
}

// limits returns the limit of a team, and false if it is not limited.
type limits func(team uint64) (Limit, bool)

// terms is what a holder applies to every request.
type terms struct {
	limits limits
	bounds Bounds
	areas  int
}

// serve applies a request and fills in the answer: the weight, the grants, the report
// and the flags. valid reports whether the request echoes the clock of this process.
func (c *class) serve(r *request, from netip.AddrPort, valid bool, t terms, now time.Duration, a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	contradicted := c.delegate(r, from, valid, now)
	a.teams = a.teams[:0]
	for _, w := range r.teams {
		if l, ok := t.limits(w.team); ok {
			a.teams = append(a.teams, c.ask(w, l, t.bounds.plan(l, t.areas), now))
		} else {
			a.teams = append(a.teams, grant{team: w.team, retry: noWeightRetry, flags: flagUnknown})
		}
	}
	a.weight, a.flags = weight(min(c.weight, uint64(unit))), 0
	if c.draining {
		a.flags |= flagDraining
	}
	if contradicted {
		a.flags |= flagNotSettled
	}
	if r.flags&flagUnsettled != 0 {
		a.flags |= flagReport
		a.report = c.report(r.fleet, now)
	}
}

// delegate applies the delegation of a request. valid reports whether the request
// echoes the clock of this process. It returns true if the node is not settled although
// it says so. The mutex is held.
func (c *class) delegate(r *request, from netip.AddrPort, valid bool, now time.Duration) (contradicted bool) {
	if c.draining || r.flags&flagProbe != 0 {
		return false
	}
	d := c.delegations[r.sender]
	if d == nil {
		d = &delegation{process: r.process, number: r.number - 1, fleet: r.fleet, since: now}
		c.delegations[r.sender] = d
	}
	if d.process == r.process && int32(r.number-d.number) <= 0 {
		return false // late or duplicated
	}
	if d.fleet != r.fleet || d.process != r.process {
		d.fleet, d.since = r.fleet, now
	}
	before := d.weight
	d.process, d.number, d.from, d.lease = r.process, r.number, from, r.lease
	contradicted = d.observeSettled(r)
	// A late request echoes a clock value of now at the latest.
	d.present, d.keep = now+r.lease, max(d.keep, now+r.lease)
	if d.unsettled {
		d.keep = now + rememberUnsettled
	}
	d.weight, d.until = 0, 0
	if until := r.echoClock + r.lease; valid && r.weight > 0 && until > now && !contradicted {
		d.weight, d.until = r.weight, until
		if c.nextExpiry == 0 || until < c.nextExpiry {
			c.nextExpiry = until
		}
	} else if r.flags&flagRevoke != 0 {
		d.present = 0 // it delegates to another node from now on
	}
	c.setWeight(c.weight - uint64(before) + uint64(d.weight))
	return contradicted
}

// ask grants tokens of one team. The mutex is held.
func (c *class) ask(w want, l Limit, p plan, now time.Duration) grant {
	g := grant{team: w.team}
	if c.weight == 0 {
		if w.wanted > 0 {
			g.retry = noWeightRetry
		}
		return g
	}
	b := c.bucketOf(w.team, l, p)
	b.lastAsk = now
	g.granted = uint16(min(float64(w.wanted), b.tokens+roundingError))
	b.tokens = max(b.tokens-float64(g.granted), 0)
	if g.granted < w.wanted {
		g.retry = c.promise(b, now)
		b.denied += uint64(w.wanted - g.granted)
	} else if spare := min(b.allowance, b.tokens-minFill*b.plan.cap*c.share(), float64(w.demand)); spare >= 1 {
		g.prefetched = uint16(spare)
		b.tokens -= float64(g.prefetched)
		b.allowance -= float64(g.prefetched)
	}
	b.granted += uint64(g.granted) + uint64(g.prefetched)
	return g
}

// promise returns the time until the next token that is not promised to another asker,
// and promises it to this one. So the asks of nodes that were denied at the same time
// arrive one after another, as the tokens are minted. One token is promised whatever
// the node needs, because a node that is alone may ask for each one.
func (c *class) promise(b *bucket, now time.Duration) time.Duration {
	perToken := time.Duration(float64(time.Second) / max(b.plan.rate*c.share(), minRate))
	next := now + time.Duration((1-min(b.tokens, 1))*float64(perToken))
	retry := min(max(b.promised, next), now+max(maxPromise, perToken))
	b.promised = retry + perToken
	return retry - now
}

// minRate bounds the time to the next token, in tokens per second.
const minRate = 1.0 / 60

// report returns what a node that is not settled needs to know. fleet is the one that
// it knows. The mutex is held.
func (c *class) report(fleet uint64, now time.Duration) (r report) {
	for id, d := range c.delegations {
		if d.present <= now {
			continue
		}
		// A settled node has had more weight before it knew this fleet, and delegations of
		// it may be valid for a lease.
		same := d.fleet == fleet && (d.unsettled || now-d.since >= d.lease+margin(d.lease))
		if same {
			r.same ^= id
			r.sames++
		}
		if !d.unsettled {
			r.settled++
			if same {
				r.sameSettled++
			}
		}
	}
	return r
}

// drain drops all delegations and refuses further ones. It returns the addresses of the
// nodes whose weights it had.
func (c *class) drain(now time.Duration) (delegators []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for _, d := range c.delegations {
		if d.weight > 0 && d.from.IsValid() {
			delegators = append(delegators, d.from)
		}
	}
	slices.SortFunc(delegators, netip.AddrPort.Compare)
	c.draining = true
	clear(c.delegations)
	c.nextExpiry = 0
	c.setWeight(0)
	return delegators
}
