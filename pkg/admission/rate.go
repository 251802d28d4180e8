package admission

import (
	"math"
	"time"
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
