package retry

import "sync/atomic"

// tokenUnit is one retry token, in the unit of the level.
const tokenUnit = 1000

// rerunPart is the part of a budget that may be spent on calls that may have
// run before. A repeated run repeats the calls that it makes, which count as
// repeats at the services that it calls; an attempt that did not run makes
// none.
const rerunShare = 0.3

// Budget limits the retries of one node to a share of its calls plus a
// reserve, and those that run a call again to a part of that. It is safe for
// concurrent use.
type Budget struct{ all, reruns bucket }

// bucket holds tokens that calls earn.
type bucket struct {
	level   atomic.Int64 // in thousandths of a token
	perCall atomic.Int64 // of one call
	reserve atomic.Int64 // most that can be saved up
}

// NewBudget returns a full budget: retries may be the stated share of the
// calls, and as many more as the reserve says.
func NewBudget(share, reserve float64) *Budget {
	b := &Budget{}
	b.Set(share, reserve)
	b.all.level.Store(b.all.reserve.Load())
	b.reruns.level.Store(b.reruns.reserve.Load())
	return b
}

// Set changes share and reserve; a lower reserve takes effect as tokens are
// spent.
func (b *Budget) Set(share, reserve float64) {
	b.all.set(share, reserve)
	b.reruns.set(rerunShare*share, max(rerunShare*reserve, 1))
}

// Earn credits one call that was taken from a caller.
func (b *Budget) Earn() {
	b.all.earn()
	b.reruns.earn()
}

// Spend takes a token for one retry and reports whether there was one; rerun
// says that the call may have run before.
func (b *Budget) Spend(rerun bool) bool {
	if !rerun {
		return b.all.spend()
	}
	if !b.reruns.spend() {
		return false
	}
	if !b.all.spend() {
		b.reruns.level.Add(tokenUnit)
		return false
	}
	return true
}

// Level returns the tokens left.
func (b *Budget) Tokens() float64 { return float64(b.all.level.Load()) / tokenUnit }

func (b *bucket) set(share, reserve float64) {
	b.perCall.Store(int64(share * tokenUnit))
	b.reserve.Store(int64(reserve * tokenUnit))
}

func (b *bucket) earn() {
	limit := b.reserve.Load()
	for {
		l := b.level.Load()
		if l >= limit {
			return
		}
		if b.level.CompareAndSwap(l, min(l+b.perCall.Load(), limit)) {
			return
		}
	}
}

func (b *bucket) spend() bool {
	for {
		l := b.level.Load()
		if l < tokenUnit {
			return false
		}
		if b.level.CompareAndSwap(l, l-tokenUnit) {
			return true
		}
	}
}
