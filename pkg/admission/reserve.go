package admission

import (
	"math"
	"time"
)

const (
	// minReservingSlots is the least number of slots with which one is kept free. With
	// fewer, it would be more than a quarter of the capacity.
	minReservingSlots = 4
	// minSavedWait is the time that inner calls together would otherwise wait per second,
	// in seconds, from which on a slot is kept free for them. While they wait, the calls
	// that made them hold as many slots elsewhere.
	minSavedWait = 0.25
	// innerHalfLife is the half-life of the count of inner calls.
	innerHalfLife = time.Second
)

// innerCalls counts the calls that upstreams make, with a decay.
type innerCalls struct {
	count     float64
	updatedAt time.Duration
}

func (i *innerCalls) add(now time.Duration) {
	i.count, i.updatedAt = i.get(now)+1, now
}

func (i *innerCalls) get(now time.Duration) float64 {
	return i.count * math.Exp2(-float64(max(now-i.updatedAt, 0))/float64(innerHalfLife))
}

// rate returns the calls per second.
func (i *innerCalls) rate(now time.Duration) float64 {
	return i.get(now) * math.Ln2 / innerHalfLife.Seconds()
}

// reserved returns the number of slots that are kept free for calls that upstreams make:
// one, if they would otherwise wait for at least minSavedWait. If all slots are busy, the
// next one becomes free after a mean service time divided by their number.
func (c *Core) reserved(now time.Duration) int {
	if !c.limits.ReserveForInner || c.rate.limited || c.Limit() < minReservingSlots {
		return 0
	}
	if c.inner.rate(now)*c.serviceTimes.mean(now).Seconds()/float64(c.Limit()) < minSavedWait {
		return 0
	}
	return 1
}
