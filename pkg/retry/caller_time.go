package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// callerTimeTolerance is the share by which two stated times may differ and still
	// count as the same limit.
	callerTimeTolerance = 0.02
	// callerTimeWeight is the weight of one call in the moving average of the share.
	callerTimeWeight = 0.05
	// usableShare is the share of the calls that must state the whole limit. If every
	// caller is refused once and comes back, half of the calls are first tries.
	usableShare = 0.4
	// maxElapsedShare is the largest share of the limit that may have passed. Callers keep
	// time for another try, so a call that states less has a shorter limit of its own.
	maxElapsedShare = 0.75
	// staleShare is the share below which the limit is replaced by a shorter one.
	staleShare = 0.02
)

// CallerTime learns for how long the callers of a route wait for a response, from the
// times that they state. A caller that is refused and comes back states what is left of
// that time, so that its earlier try can be recognised. The zero value is ready to use.
// It is safe for concurrent use.
type CallerTime struct {
	// word packs the limit, in milliseconds, and the share of recent calls that state it
	// as two float32.
	word atomic.Uint64
}

// Elapsed records the time that a call states and returns how long ago its caller began
// the first try. It is 0 for a first try, and while callers do not agree on a limit.
func (t *CallerTime) Elapsed(stated time.Duration) time.Duration {
	ms := float64(stated) / float64(time.Millisecond)
	if ms <= 0 {
		return 0
	}
	for {
		w := t.word.Load()
		limit, share := unpackPair(w)
		limit, share = nextCallerTime(limit, share, ms)
		if !t.word.CompareAndSwap(w, packPair(limit, share)) {
			continue
		}
		if share < usableShare || ms >= limit*(1-callerTimeTolerance) || ms < limit*(1-maxElapsedShare) {
			return 0
		}
		return time.Duration((limit - ms) * float64(time.Millisecond))
	}
}

// nextCallerTime returns the limit and the share after a call that states ms. A single
// caller with a longer time does not make the others look late: its limit is not used
// until others state it, and is replaced after about twenty calls.
func nextCallerTime(limit, share, ms float64) (nextLimit, nextShare float64) {
	switch {
	case ms > limit*(1+callerTimeTolerance), ms < limit*(1-callerTimeTolerance) && share < staleShare:
		return ms, callerTimeWeight
	case ms >= limit*(1-callerTimeTolerance):
		return max(limit, ms), share + callerTimeWeight*(1-share)
	}
	return limit, share - callerTimeWeight*share
}

func packPair(a, b float64) uint64 {
	return uint64(math.Float32bits(float32(a)))<<32 | uint64(math.Float32bits(float32(b)))
}

func unpackPair(w uint64) (a, b float64) {
	return float64(math.Float32frombits(uint32(w >> 32))), float64(math.Float32frombits(uint32(w)))
}
