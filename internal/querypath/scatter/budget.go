package scatter

import "sync/atomic"

// tokenScale is the number of budget units in one token.
const tokenScale = 1 << 20

// Budget is a token bucket that limits hedges or retries to a share of the
// regular sub-requests. Regular sub-requests add tokens and each extra one takes
// one. It is safe for concurrent use.
type Budget struct {
	// units is the number of tokens, multiplied by tokenScale.
	units atomic.Int64
}

// NewBudget returns a budget that holds budgetReserve tokens.
func NewBudget() *Budget {
	b := &Budget{}
	b.units.Store(budgetReserve * tokenScale)
	return b
}

// Earn adds share tokens for each of n regular sub-requests, up to
// budgetCapacity tokens in total.
func (b *Budget) Earn(n int, share float64) {
	earned := int64(float64(n) * share * tokenScale)
	for {
		old := b.units.Load()
		if b.units.CompareAndSwap(old, min(old+earned, budgetCapacity*tokenScale)) {
			return
		}
	}
}

// Spend takes one token and reports whether there was one. A share of zero
// allows no extra sub-requests at all.
func (b *Budget) Spend(share float64) bool {
	if share <= 0 {
		return false
	}
	for {
		old := b.units.Load()
		if old < tokenScale {
			return false
		}
		if b.units.CompareAndSwap(old, old-tokenScale) {
			return true
		}
	}
}
