package shaping

import "time"

// burst is what may be sent at once after a pause, in bytes: 12 ms of a link of
// 11 Mbit/s.
const burst = 16 << 10

// oldestTurn is how many parts are granted until one goes to the oldest transfer,
// so that a large answer, or a late one, gets a quarter of the link at least.
const oldestInterval = 4

// flow is what decides the turn of a transfer.
type flow struct {
	order     uint64        // the lowest is the oldest
	due       time.Duration // when the answer misses its latency target, 0 if it has none
	remaining int64         // bytes that are not sent yet
}

// part is one piece of an answer that waits for the link.
type part struct {
	flow  *flow
	bytes int64
	ready chan struct{} // used by Link only
}

// Core grants the parts of transfers at a fixed rate (token bucket that may go
// into debt by one part). Among the transfers that can still meet their latency
// target the one with the least left goes first: when the link is short of room
// that serves most callers in time (shortest remaining processing time; Schrage,
// 1968). Every fourth part goes to the oldest transfer. Core is not safe for
// concurrent use.
type Core struct {
	rate    float64 // bytes a second
	credit  float64 // bytes that may be sent at time last
	last    time.Duration
	waiting []*part
	backlog int64 // bytes of all transfers that are not sent yet
	grants  int
}

// NewCore returns an idle Core for a rate in bytes a second, above 0.
func NewCore(rate float64) *Core { return &Core{rate: rate, credit: burst} }

// Backlog changes the bytes that are to be sent by n.
func (c *Core) AddBacklog(n int64) { c.backlog += n }

// Wait adds a part.
func (c *Core) Enqueue(p *part) { c.waiting = append(c.waiting, p) }

// Cancel takes a part out. It returns false if it was granted already.
func (c *Core) Cancel(p *part) bool {
	for i, w := range c.waiting {
		if w == p {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next takes out the part that may be sent now. If there is none it returns the
// time until one may be, 0 if no part waits.
func (c *Core) Next(now time.Duration) (*part, time.Duration) {
	if len(c.waiting) == 0 {
		return nil, 0
	}
	c.refill(now)
	if c.credit < 0 {
		return nil, max(time.Duration(-c.credit/c.rate*float64(time.Second)), time.Microsecond)
	}
	first := c.nextPart(now)
	c.Cancel(first)
	c.credit -= float64(first.bytes)
	return first, 0
}

// first returns the part whose turn it is.
func (c *Core) nextPart(now time.Duration) *part {
	c.grants = (c.grants + 1) % oldestInterval
	oldest, best := c.waiting[0], (*part)(nil)
	for _, p := range c.waiting {
		if p.flow.order < oldest.flow.order {
			oldest = p
		}
		if c.meetsTarget(p.flow, now) && (best == nil || p.flow.before(best.flow)) {
			best = p
		}
	}
	if best == nil || c.grants == 0 {
		return oldest
	}
	return best
}

// inTime reports whether a transfer that has the link for itself from now on
// meets its latency target.
func (c *Core) meetsTarget(f *flow, now time.Duration) bool {
	return f.due == 0 || now+time.Duration(float64(f.remaining)/c.rate*float64(time.Second)) <= f.due
}

// less reports whether f goes before g if both are in time.
func (f *flow) before(g *flow) bool {
	return f.remaining < g.remaining || f.remaining == g.remaining && f.order < g.order
}

func (c *Core) refill(now time.Duration) {
	if now > c.last {
		c.credit = min(c.credit+(now-c.last).Seconds()*c.rate, burst)
		c.last = now
	}
}

// Sent takes bytes that were sent beside the transfers from the credit.
func (c *Core) Consume(now time.Duration, n int64) {
	c.refill(now)
	c.credit -= float64(n)
}

// Expected returns the time until n further bytes would be sent.
func (c *Core) TimeToSend(now time.Duration, n int64) time.Duration {
	c.refill(now)
	bytes := float64(c.backlog+n) - c.credit
	return time.Duration(max(bytes, 0) / c.rate * float64(time.Second))
}
