package shaping

import "time"

// burst is what may be sent at once after a pause, in bytes: 12 ms of a link of
// 11 Mbit/s.
const burst = 16 << 10

// part is one piece of an answer that waits for the link.
type part struct {
	order uint64 // of its transfer; the lowest goes first
	bytes int64
	ready chan struct{} // used by Link only
}

// Core grants the parts of transfers in the order of their transfers, at a
// fixed rate (token bucket that may go into debt by one part). It is not safe
// for concurrent use.
type Core struct {
	rate    float64 // bytes a second
	credit  float64 // bytes that may be sent at time last
	last    time.Duration
	waiting []*part
	backlog int64 // bytes of all transfers that are not sent yet
}

// NewCore returns an idle Core for a rate in bytes a second, above 0.
func NewCore(rate float64) *Core { return &Core{rate: rate, credit: burst} }

// Backlog changes the bytes that are to be sent by n.
func (c *Core) Backlog(n int64) { c.backlog += n }

// Wait adds a part.
func (c *Core) Wait(p *part) { c.waiting = append(c.waiting, p) }

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
	first := c.waiting[0]
	for _, p := range c.waiting {
		if p.order < first.order {
			first = p
		}
	}
	c.Cancel(first)
	c.credit -= float64(first.bytes)
	return first, 0
}

func (c *Core) refill(now time.Duration) {
	if now > c.last {
		c.credit = min(c.credit+(now-c.last).Seconds()*c.rate, burst)
		c.last = now
	}
}

// Expected returns the time until n further bytes would be sent.
func (c *Core) Expected(now time.Duration, n int64) time.Duration {
	c.refill(now)
	bytes := float64(c.backlog+n) - c.credit
	return time.Duration(max(bytes, 0) / c.rate * float64(time.Second))
}
