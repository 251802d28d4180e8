package shaping

import "time"

// burst is the number of bytes that may be sent at once after a pause: 12 ms of a
// link of 11 Mbit/s. A small response that follows may wait that long, so a
// larger burst would delay it further.
const burst = 16 << 10

// oldestInterval is the interval, in granted parts, at which a part of the oldest
// transfer is granted, so that a large or late response gets at least a quarter
// of the link.
const oldestInterval = 4

// flow holds the properties of a transfer that decide which part goes next.
type flow struct {
	order     uint64        // the lowest is the oldest
	due       time.Duration // when the response misses its latency target, 0 if it has none
	remaining int64         // bytes that are not sent yet
}

// part is one piece of a response that waits for the link.
type part struct {
	flow  *flow
	bytes int64
	ready chan struct{} // used by Link only
}

// Core grants the parts of transfers at a fixed rate (token bucket that may go
// into debt by one part). Among the transfers that can still meet their latency
// target, the one with the fewest remaining bytes goes first. If the link is full,
// this order serves the most callers in time (shortest remaining processing time;
// Schrage, 1968). Every fourth part, and every part if no transfer can meet its
// target, is one of the oldest transfer. Core is not safe for concurrent use. The
// now arguments are times on one monotonic clock.
type Core struct {
	rate    float64 // bytes per second
	credit  float64 // bytes that may be sent at time last
	last    time.Duration
	waiting []*part
	backlog int64 // bytes of all transfers that are not sent yet
	grants  int
}

// NewCore returns an idle Core for a rate in bytes per second, above 0.
func NewCore(rate float64) *Core { return &Core{rate: rate, credit: burst} }

// AddBacklog adds n, which may be negative, to the bytes that are to be sent. It
// matters for TimeToSend only.
func (c *Core) AddBacklog(n int64) { c.backlog += n }

// Enqueue adds a part that waits until Next returns it or Cancel removes it.
func (c *Core) Enqueue(p *part) { c.waiting = append(c.waiting, p) }

// Cancel removes a waiting part. It returns false if the part was granted already.
func (c *Core) Cancel(p *part) bool {
	for i, w := range c.waiting {
		if w == p {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next removes and returns the part that may be sent now. If there is none, it
// returns nil and the time until one may be sent, or 0 if no part waits.
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

// nextPart returns the waiting part that is granted next.
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

// meetsTarget reports whether a transfer meets its latency target if it has the
// whole link from now on.
func (c *Core) meetsTarget(f *flow, now time.Duration) bool {
	return f.due == 0 || now+time.Duration(float64(f.remaining)/c.rate*float64(time.Second)) <= f.due
}

// before reports whether f goes before g if both can meet their targets.
func (f *flow) before(g *flow) bool {
	return f.remaining < g.remaining || f.remaining == g.remaining && f.order < g.order
}

func (c *Core) refill(now time.Duration) {
	if now > c.last {
		c.credit = min(c.credit+(now-c.last).Seconds()*c.rate, burst)
		c.last = now
	}
}

// Consume subtracts n bytes that were sent outside of the transfers from the
// credit.
func (c *Core) Consume(now time.Duration, n int64) {
	c.refill(now)
	c.credit -= float64(n)
}

// TimeToSend returns the time until the backlog and n further bytes would be sent.
func (c *Core) TimeToSend(now time.Duration, n int64) time.Duration {
	c.refill(now)
	bytes := float64(c.backlog+n) - c.credit
	return time.Duration(max(bytes, 0) / c.rate * float64(time.Second))
}

// capacity returns the bytes that can be sent within d.
func (c *Core) capacity(d time.Duration) int64 { return int64(c.rate*max(d, 0).Seconds()) + burst }
