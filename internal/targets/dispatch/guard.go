package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"
)

// exchangeGuard monitors a worker's exchange and cancels it if deadlineSlack has
// passed since its deadline, the target does not respond, or all its sub-requests
// are cancelled. It also cancels an exchange of idempotent sub-requests if the
// target reports fewer sub-requests than this host has running there.
type exchangeGuard struct {
	w *worker

	mu     sync.Mutex
	timer  *time.Timer
	active bool
	// exchangeNumber counts the exchanges, so that a check of an earlier one has no
	// effect.
	exchangeNumber uint64
	// deadline is the exchange's deadline plus deadlineSlack.
	deadline time.Time
	// idempotent is set if the exchange's sub-requests are idempotent. Only then may
	// a load report end the exchange: the report may be wrong, and other
	// sub-requests can't be resent.
	idempotent bool
	// items are the exchange's items; only their finished flag is read.
	items []*item
}

func newExchangeGuard(w *worker) *exchangeGuard {
	g := &exchangeGuard{w: w}
	// The timer is stopped at once, so its first duration does not matter.
	g.timer = time.AfterFunc(time.Hour, g.check)
	g.timer.Stop()
	return g
}

// begin starts monitoring an exchange, whose deadline is the latest one of its
// items.
func (g *exchangeGuard) begin(batch []*item, deadline time.Time) {
	g.mu.Lock()
	g.active = true
	g.exchangeNumber++
	g.deadline = deadline.Add(deadlineSlack)
	g.idempotent = batch[0].req.Idempotent
	g.items = append(g.items[:0], batch...)
	g.timer.Reset(g.next())
	g.mu.Unlock()
}

// end stops monitoring the exchange.
func (g *exchangeGuard) end() {
	g.mu.Lock()
	g.active = false
	g.timer.Stop()
	clear(g.items)
	g.mu.Unlock()
}

// running returns the items of the running exchange.
func (g *exchangeGuard) running() []*item {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active {
		return nil
	}
	return slices.Clone(g.items)
}

// stop stops the timer when the worker exits.
func (g *exchangeGuard) stop() { g.end() }

// next returns the time until the next check.
func (g *exchangeGuard) next() time.Duration {
	return max(0, min(g.w.p.l.limits.ProgressInterval, time.Until(g.deadline)))
}

// check runs on the timer's goroutine. It does not hold mu while it asks the target,
// so that begin and end do not wait for the target's reply.
func (g *exchangeGuard) check() {
	g.mu.Lock()
	active, exchangeNumber, deadline, unfinished, idempotent := g.active, g.exchangeNumber, g.deadline, g.hasUnfinished(), g.idempotent
	g.mu.Unlock()
	if !active {
		return
	}
	cause := g.endCause(deadline, unfinished, idempotent)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active || g.exchangeNumber != exchangeNumber {
		return
	}
	if cause != nil {
		g.w.cancel(cause)
		return
	}
	g.timer.Reset(g.next())
}

// hasUnfinished reports whether an item of the exchange is not finished. mu must
// be held.
func (g *exchangeGuard) hasUnfinished() bool {
	for _, it := range g.items {
		if it != nil && !it.finished.Load() {
			return true
		}
	}
	return false
}

// endCause returns why the exchange must be ended, nil if it may continue.
func (g *exchangeGuard) endCause(deadline time.Time, unfinished, idempotent bool) error {
	if !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	err := g.w.p.checkProgress(idempotent)
	if err == nil && !unfinished {
		return errAllCancelled
	}
	return err
}
