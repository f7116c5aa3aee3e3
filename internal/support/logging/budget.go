package logging

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the lines a second of each kind, before they are formatted.
type Budget struct {
	mu      sync.Mutex
	perKind map[string]*kindBudget
	perS    float64
}

type kindBudget struct {
	limiter *rate.Limiter
	left    int
}

// NewBudget allows each kind perSecond lines a second, with as many in a burst.
func NewBudget(perSecond float64) *Budget {
	return &Budget{perKind: map[string]*kindBudget{}, perS: perSecond}
}

// Take reports whether a line of this kind may be written now, and how many
// were left out since the last one.
func (b *Budget) Take(kind string, now time.Time) (bool, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.perKind[kind]
	if !ok {
		k = &kindBudget{limiter: rate.NewLimiter(rate.Limit(b.perS), max(int(b.perS), 1))}
		b.perKind[kind] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.left++
		return false, 0
	}
	left := k.left
	k.left = 0
	return true, left
}
