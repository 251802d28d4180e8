package retry

import "sync/atomic"

// tokenUnit is one retry token, in the unit of bucket.level.
const tokenUnit = 1000

// rerunShare is the part of a budget that may be spent on calls that may have run
// before. An upstream that runs a call twice also repeats its own calls to other
// services, where they count as repeated calls. The retry of a call that did not
// run repeats no calls.
const rerunShare = 0.3

// Budget limits the retries of one node to a share of its calls plus a reserve.
// Retries of calls that may have run are limited to a part of that. It is safe
// for concurrent use.
type Budget struct{ all, reruns bucket }

// bucket is a token bucket that every call refills by a fixed amount.
type bucket struct {
	level   atomic.Int64 // in thousandths of a token
	perCall atomic.Int64 // added by each call, in thousandths of a token
	reserve atomic.Int64 // capacity, in thousandths of a token
}

// NewBudget returns a full budget. share is the number of retries that each call
// adds to the budget, for example 0.1. reserve is the number of retries that a full
// budget holds.
func NewBudget(share, reserve float64) *Budget {
	b := NewEmptyBudget(share, reserve)
	b.all.level.Store(b.all.reserve.Load())
	b.reruns.level.Store(b.reruns.reserve.Load())
	return b
}

// NewEmptyBudget returns a budget without tokens: an earlier process may have spent
// those of a full one moments ago.
func NewEmptyBudget(share, reserve float64) *Budget {
	b := &Budget{}
	b.Set(share, reserve)
	return b
}

// Set changes share and reserve. Tokens above a lower reserve are lost. The
// reserve of reruns is at least one token; with less, no rerun would ever be allowed.
func (b *Budget) Set(share, reserve float64) {
	b.all.set(share, reserve)
	b.reruns.set(rerunShare*share, max(rerunShare*reserve, 1))
}

// Earn adds the tokens of one call that was accepted from a caller.
func (b *Budget) Earn() {
	b.all.earn()
	b.reruns.earn()
}

// Spend takes a token for one retry and reports whether there was one. rerun says
// that the call may have run before.
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

// Tokens returns the number of tokens left; each retry takes one.
func (b *Budget) Tokens() float64 { return float64(b.all.level.Load()) / tokenUnit }

func (b *bucket) set(share, reserve float64) {
	b.perCall.Store(int64(share * tokenUnit))
	limit := int64(reserve * tokenUnit)
	b.reserve.Store(limit)
	for l := b.level.Load(); l > limit && !b.level.CompareAndSwap(l, limit); l = b.level.Load() {
	}
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
