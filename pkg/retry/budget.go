package retry

import "sync/atomic"

const (
	// tokenUnit is one retry token; one call earns callEarns of it, so that
	// retries add at most 10% to the calls.
	tokenUnit = 10
	callEarns = 1
	// budgetReserve is the number of retries that a quiet node may make before
	// its calls have earned any, and the most that it can save up.
	budgetReserve = 10
)

// Budget limits the retries of one node to 10% of its calls plus a reserve of
// 10. It is safe for concurrent use.
type Budget struct {
	level atomic.Int64 // in tenths of a token
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.level.Store(budgetReserve * tokenUnit)
	return b
}

// Earn credits one call that was taken from a caller.
func (b *Budget) Earn() {
	for {
		l := b.level.Load()
		if l >= budgetReserve*tokenUnit || b.level.CompareAndSwap(l, l+callEarns) {
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
