package retry

import "sync/atomic"

const (
	// tokenUnit is one retry token, in the unit of the level.
	tokenUnit = 1000
	// defaultShare and defaultReserve are the retry budget of a node that is
	// told nothing else: 10% of its calls (Site Reliability Engineering,
	// O'Reilly 2016, chapter 21) and what a quiet node may spend before its
	// calls have earned any.
	defaultShare   = 0.1
	defaultReserve = 10
)

// Budget limits the retries of one node to a share of its calls plus a
// reserve. It is safe for concurrent use.
type Budget struct {
	level   atomic.Int64 // in thousandths of a token
	earns   atomic.Int64 // of one call
	reserve atomic.Int64 // most that can be saved up
}

// NewBudget returns a full budget of 10% of the calls and a reserve of 10.
func NewBudget() *Budget { return NewBudgetOf(defaultShare, defaultReserve) }

// NewBudgetOf returns a full budget: retries may be the stated share of the
// calls, and as many more as the reserve says.
func NewBudgetOf(share, reserve float64) *Budget {
	b := &Budget{}
	b.Set(share, reserve)
	b.level.Store(b.reserve.Load())
	return b
}

// Set changes share and reserve; a lower reserve takes effect as tokens are
// spent.
func (b *Budget) Set(share, reserve float64) {
	b.earns.Store(int64(share * tokenUnit))
	b.reserve.Store(int64(reserve * tokenUnit))
}

// Earn credits one call that was taken from a caller.
func (b *Budget) Earn() {
	limit := b.reserve.Load()
	for {
		l := b.level.Load()
		if l >= limit {
			return
		}
		if b.level.CompareAndSwap(l, min(l+b.earns.Load(), limit)) {
			return
		}
	}
}

// Spend takes one retry token and reports whether there was one.
func (b *Budget) Spend() bool {
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

// Level returns the tokens left.
func (b *Budget) Level() float64 { return float64(b.level.Load()) / tokenUnit }
