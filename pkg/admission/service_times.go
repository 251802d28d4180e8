package admission

import (
	"math"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

const (
	// sampleWeight is the share of one sample in the moving averages.
	sampleWeight = 0.1
	// serviceHalfLife is the half-life with which an estimate decays if there was
	// no sample for as long, so that calls are admitted again after the upstream
	// has recovered.
	serviceHalfLife = time.Second
	// requiredShare of the mean service time must be left before the deadline
	// when a call arrives and when it starts. With half of the mean, or without
	// the check at the start, 20% of the capacity went into calls that ended too
	// late under a flood of the most urgent rank.
	requiredShare = 0.9
)

// average is a moving average that decays without samples.
type average struct {
	value     float64 // nanoseconds
	updatedAt time.Duration
}

func (a *average) add(now time.Duration, x float64) {
	if a.value == 0 {
		a.value = x
	}
	a.value += sampleWeight * (x - a.value)
	a.updatedAt = now
}

func (a *average) get(now time.Duration) time.Duration {
	if a.value == 0 {
		return 0
	}
	idle := max(now-a.updatedAt-serviceHalfLife, 0)
	return time.Duration(a.value * math.Exp2(-float64(idle)/float64(serviceHalfLife)))
}

// serviceTimes estimates the service times of the upstream.
type serviceTimes struct {
	overall average
	byRank  [Ranks]average
}

func (s *serviceTimes) add(now time.Duration, r model.Rank, took time.Duration) {
	s.overall.add(now, float64(took))
	s.byRank[r].add(now, float64(took))
}

func (s *serviceTimes) mean(now time.Duration) time.Duration { return s.overall.get(now) }
