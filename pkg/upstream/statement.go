package upstream

import (
	"math"
	"time"
)

// Statement is what a response of the upstream says about the upstream itself,
// beside the result of its request.
type Statement struct {
	// Limited says that RateLimit is stated: the requests per second that the
	// upstream takes from all nodes together.
	Limited   bool
	RateLimit float64
	// Leaving says that the upstream is about to leave and must get no further
	// requests.
	Leaving bool
}

// ValidRateLimit reports whether a number can be a rate limit: it is finite and
// not negative.
func ValidRateLimit(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }

// RateLimit is the rate limit that a boot states in its responses. The zero value
// is that of a boot that states none. The now and sentAt arguments are times on
// one monotonic clock. It is not safe for concurrent use.
type RateLimit struct {
	limited  bool
	rate     float64
	statedAt time.Duration // when the last response with a limit arrived
}

// Current returns the requests per second that the upstream takes. limited is
// false if it takes any number.
func (l *RateLimit) Current() (rate float64, limited bool) { return l.rate, l.limited }

// StatedAt returns when the last response with the limit arrived, 0 without a
// limit.
func (l *RateLimit) StatedAt() time.Duration { return l.statedAt }

// Observe applies a response, which arrived now and whose request was sent at
// sentAt, and reports whether the limit has changed. A response without a limit
// ends the limit only if its request was sent after the last response with one:
// responses on several connections may arrive in another order than they were
// sent in.
func (l *RateLimit) Observe(s Statement, sentAt, now time.Duration) (changed bool) {
	if s.Limited {
		changed = !l.limited || l.rate != s.RateLimit
		l.limited, l.rate, l.statedAt = true, s.RateLimit, now
		return changed
	}
	if !l.limited || sentAt < l.statedAt {
		return false
	}
	*l = RateLimit{}
	return true
}
