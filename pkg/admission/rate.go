package admission

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// burstTime is the time whose requests the upstream may get at once after it
	// was less busy than its rate limit permits. With the burst, any 4 s have at
	// most 1.07 times what the limit permits, and one request more.
	burstTime = 250 * time.Millisecond
	// maxRateWait is the expected wait at an upstream that takes no requests at
	// all. It is longer than any deadline.
	maxRateWait = time.Hour
)

// rateLimiter is a token bucket: a call starts with one token, and tokens are
// added at the rate limit of the upstream (Turner, "New Directions in
// Communications", 1986). The zero value sets no limit.
type rateLimiter struct {
	limited   bool
	rate      float64 // per second
	tokens    float64
	updatedAt time.Duration
}

// set changes the limit. A bucket that was unlimited starts empty, because the
// upstream has got more than the limit until now.
func (l *rateLimiter) set(now time.Duration, limited bool, rate float64) {
	l.refill(now)
	if !l.limited || !limited {
		l.tokens = 0
	}
	l.limited, l.rate, l.updatedAt = limited, rate, now
	l.tokens = min(l.tokens, l.capacity())
}

// capacity is the largest number of tokens.
func (l *rateLimiter) capacity() float64 { return max(1, l.rate*burstTime.Seconds()) }

func (l *rateLimiter) refill(now time.Duration) {
	if !l.limited || now <= l.updatedAt {
		return
	}
	l.tokens = min(l.tokens+l.rate*(now-l.updatedAt).Seconds(), l.capacity())
	l.updatedAt = now
}

// take removes the token of a call that starts.
func (l *rateLimiter) take(now time.Duration) {
	l.refill(now)
	if l.limited {
		l.tokens--
	}
}

// wait is the time until n calls may have started, at a share of the rate.
func (l *rateLimiter) wait(now time.Duration, n, share float64) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	missing := n - l.tokens
	if missing <= 0 {
		return 0
	}
	seconds := missing / (l.rate * share)
	if seconds >= maxRateWait.Seconds() { // also at a rate of 0
		return maxRateWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// ready reports whether a call may start now.
func (l *rateLimiter) ready(now time.Duration) bool { return l.wait(now, 1, 1) == 0 }

// rateWait is the time until the rate limit permits a call that arrives now,
// after the calls that go before it. If the floor of its rank lets it start
// sooner, that time counts.
func (c *Core) rateWait(now time.Duration, w *Call) time.Duration {
	if !c.rate.limited {
		return 0
	}
	r := min(w.Rank, model.MaxRank)
	ownCalls := c.ranks[r].callsAhead(now, w) + 1
	calls, share := ownCalls, 1.0
	for q := range r {
		calls += float64(c.ranks[q].waiting)
	}
	for q := int(r) + 1; q < Ranks; q++ {
		if c.ranks[q].waiting > 0 {
			share -= float64(c.limits.Floors[q]) / 100 // taken by the floors of less urgent ranks
		}
	}
	wait := c.rate.wait(now, calls, max(share, minRateShare))
	if f := c.limits.Floors[r]; f > 0 {
		wait = min(wait, c.rate.wait(now, ownCalls, float64(f)/100))
	}
	return wait
}

// minRateShare is the least share of the rate limit that is expected for a rank,
// for floors that add up to the whole limit.
const minRateShare = 0.1

// creditFloors gives each waiting rank its share of a start under a rate limit,
// and deducts the start from the rank that gets it.
func (c *Core) creditFloors(started model.Rank) {
	for r := range c.ranks {
		q := &c.ranks[r]
		if q.waiting > 0 || model.Rank(r) == started {
			q.floorCredit = min(q.floorCredit+c.limits.Floors[r], 2*oneStart)
		}
	}
	q := &c.ranks[started]
	q.floorCredit = max(q.floorCredit-oneStart, 0)
}

// oneStart is the credit of one start, in percent.
const oneStart = 100

// NextStart returns how long it takes until the rate limit lets a waiting call
// start. ok is false if no call waits for the rate limit: none waits at all, or
// every slot is in use.
func (c *Core) NextStart(now time.Duration) (wait time.Duration, ok bool) {
	if !c.rate.limited || c.waiting == 0 || c.running >= c.Limit() {
		return 0, false
	}
	return c.rate.wait(now, 1, 1), true
}

// RemoveExcess takes a waiting call out of the queue that a new rate limit leaves
// no place for, and returns it, or nil if there is none: one whose deadline is
// before the next start, or else, if the queue is too long, the newest call of the
// longest flow in the least urgent rank that has more waiting calls than its
// protected place.
func (c *Core) RemoveExcess(now time.Duration) *Waiter {
	if !c.rate.limited {
		return nil
	}
	if w := c.Expire(now + c.rate.wait(now, 1, 1)); w != nil {
		return w
	}
	if c.waiting <= c.QueueLimit(now) {
		return nil
	}
	for q := Ranks - 1; q >= 0; q-- {
		protected := 0
		if c.limits.Floors[q] > 0 {
			protected = 1
		}
		if c.ranks[q].waiting > protected {
			w := c.ranks[q].longestFlow().last()
			c.Remove(w)
			return w
		}
	}
	return nil
}
