package retry

import (
	"testing"
	"time"
)

// Guards against a first try that counts as a later one, and a later one that counts as
// the first. With callers that do not agree on a limit nobody is taken for a returning
// caller.
func TestElapsedSinceFirstTry(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		before []time.Duration // stated in turn by 100 calls
		stated time.Duration
		want   time.Duration
	}{
		"no calls before":                    {nil, 1200 * ms, 0},
		"first try":                          {[]time.Duration{2000 * ms}, 2000 * ms, 0},
		"first try, some time on the way":    {[]time.Duration{2000 * ms}, 1980 * ms, 0},
		"second try":                         {[]time.Duration{2000 * ms}, 1200 * ms, 800 * ms},
		"every caller comes back":            {[]time.Duration{2000 * ms, 1300 * ms}, 1300 * ms, 700 * ms},
		"too little left":                    {[]time.Duration{2000 * ms}, 300 * ms, 0},
		"no time left":                       {[]time.Duration{2000 * ms}, 0, 0},
		"one caller with more time":          {[]time.Duration{2000 * ms, 2000 * ms, 2000 * ms, 30000 * ms}, 2000 * ms, 0},
		"each caller has a limit of its own": {[]time.Duration{900 * ms, 1400 * ms, 2000 * ms, 2500 * ms}, 1400 * ms, 0},
	} {
		var callers CallerTime
		for i := range 100 * len(c.before) {
			callers.Elapsed(c.before[i%len(c.before)])
		}
		if got := callers.Elapsed(c.stated); (got - c.want).Abs() > ms {
			t.Errorf("%s: %s since the first try, want %s", name, got, c.want)
		}
	}
}

// Guards against a limit that stays in use after callers have a shorter one.
func TestShorterLimitIsLearned(t *testing.T) {
	var callers CallerTime
	for range 100 {
		callers.Elapsed(2 * time.Second)
	}
	for range 100 {
		callers.Elapsed(time.Second)
	}
	if got := callers.Elapsed(time.Second); got != 0 {
		t.Errorf("%s since the first try, want 0", got)
	}
	if got := callers.Elapsed(700 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("%s since the first try, want 300ms", got)
	}
}
