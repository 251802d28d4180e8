package admission

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// minShare is the least part of the slots that the limit falls to.
	minShare = 0.25
	// startShare is where a new upstream begins: a cold process is slow, and
	// the limit grows within a few windows once it is not.
	startShare = 0.5
	// decrease is applied when latency shows congestion or the upstream sheds.
	decrease = 0.8
	// minWindow is the least number of answers between two changes.
	minWindow = 10
	// lateShare is the part of answers above target that stops growth.
	lateShare = 0.2
	// congestion is the latency relative to that of an uncongested upstream
	// above which the limit falls, and steady the one up to which a missed
	// target cannot be helped by running fewer calls.
	congestion = 1.5
	steady     = 1.2
	slowGrowth = 0.25
)

// limiter adapts the calls in flight by additive increase and multiplicative
// decrease (Chiu and Jain, 1989) on measured latency.
type limiter struct {
	ceiling, limit float64
	base           [Ranks]float64 // seconds; latency without congestion
	answers, late  int
	ratio          float64 // sum of latency / base in this window
	reached        bool    // the limit was in use in this window
	cut            bool    // the window began with a shed call
}

func (l *limiter) setCeiling(slots int) {
	if l.ceiling == 0 {
		l.limit = math.Ceil(float64(slots) * startShare)
	}
	l.ceiling = float64(slots)
	l.limit = l.clamp(l.limit)
}

// measured reports whether any answer has been seen.
func (l *limiter) measured() bool { return l.base != [Ranks]float64{} }

func (l *limiter) clamp(x float64) float64 {
	return min(max(x, l.ceiling*minShare, 1), l.ceiling)
}

func (l *limiter) current() int { return int(l.limit) }

// answered records one answer; full says that every slot of the limit was in
// use when it came.
func (l *limiter) answered(r model.Rank, took, target time.Duration, full bool) {
	s := max(took.Seconds(), 1e-6)
	l.learn(r, s)
	l.answers++
	l.ratio += s / l.base[r]
	if target > 0 && took > target {
		l.late++
	}
	l.reached = l.reached || full
	if l.answers >= max(minWindow, l.current()) {
		l.adjust()
	}
}

// learn follows the low latencies of a rank quickly and the high ones slowly,
// so that base stays near the latency of an upstream without congestion.
func (l *limiter) learn(r model.Rank, s float64) {
	switch b := l.base[r]; {
	case b == 0:
		l.base[r] = s
	case s < b:
		l.base[r] += 0.1 * (s - b)
	default:
		l.base[r] += 0.002 * (s - b)
	}
}

func (l *limiter) adjust() {
	ratio := l.ratio / float64(l.answers)
	late := float64(l.late) > lateShare*float64(l.answers)
	switch {
	case late && ratio > congestion:
		l.limit = l.clamp(l.limit * decrease)
	case late && ratio <= steady && l.reached:
		l.limit = l.clamp(l.limit + slowGrowth)
	case !late && l.reached:
		l.limit = l.clamp(l.limit + 1)
	}
	l.reset()
}

// shed records a call that the upstream refused. The first one in a window
// lowers the limit at once.
func (l *limiter) shed() {
	if !l.cut {
		l.limit = l.clamp(l.limit * decrease)
		l.reset()
		l.cut = true
	}
	l.answers++
	l.late++
	l.ratio += congestion
	if l.answers >= max(minWindow, l.current()) {
		l.adjust()
	}
}

func (l *limiter) reset() {
	l.answers, l.late, l.ratio, l.reached, l.cut = 0, 0, 0, false, false
}
