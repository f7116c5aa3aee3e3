package logging

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of log lines of each kind before they are formatted. It is
// safe for concurrent use.
type Budget struct {
	mu             sync.Mutex
	perKind        map[string]*kindBudget
	linesPerSecond float64
}

type kindBudget struct {
	limiter *rate.Limiter
	// suppressed is the number of lines refused since the last one allowed.
	suppressed int
}

// NewBudget returns a budget of perSecond lines a second for each kind, with a burst
// of the same size and at least one line.
func NewBudget(perSecond float64) *Budget {
	return &Budget{perKind: map[string]*kindBudget{}, linesPerSecond: perSecond}
}

// Take reports whether a line of this kind may be written now. If so, it also
// returns how many were suppressed since the last one.
func (b *Budget) Take(kind string, now time.Time) (bool, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.perKind[kind]
	if !ok {
		k = &kindBudget{limiter: rate.NewLimiter(rate.Limit(b.linesPerSecond), max(int(b.linesPerSecond), 1))}
		b.perKind[kind] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.suppressed++
		return false, 0
	}
	left := k.suppressed
	k.suppressed = 0
	return true, left
}
