package upstream

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against a limit that ends because a response which the upstream sent
// before it stated the limit arrives late on another connection.
func TestReorderedResponseDoesNotEndRateLimit(t *testing.T) {
	is := is.New(t)
	var l RateLimit
	is.True(l.Observe(Statement{Limited: true, RateLimit: 20}, 0, 100*ms))
	is.True(!l.Observe(Statement{}, 90*ms, 110*ms)) // sent before the limit was known
	rate, limited := l.Current()
	is.True(limited)
	is.Equal(rate, 20.0)
	is.True(!l.Observe(Statement{Limited: true, RateLimit: 20}, 110*ms, 150*ms))
	is.True(!l.Observe(Statement{}, 120*ms, 160*ms))
	is.True(l.Observe(Statement{}, 155*ms, 200*ms))
	_, limited = l.Current()
	is.True(!limited)
}

// Guards against a limit of another number, or of none at all per second, that is
// taken for the old one or for no limit.
func TestNewestRateLimitApplies(t *testing.T) {
	is := is.New(t)
	var l RateLimit
	is.True(l.Observe(Statement{Limited: true, RateLimit: 20}, 0, 100*ms))
	is.True(l.Observe(Statement{Limited: true, RateLimit: 0}, 0, 110*ms))
	rate, limited := l.Current()
	is.True(limited)
	is.Equal(rate, 0.0)
	is.True(!ValidRateLimit(math.NaN()))
	is.True(!ValidRateLimit(math.Inf(1)))
	is.True(!ValidRateLimit(-1))
}
