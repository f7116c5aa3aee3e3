package dispatch

import (
	"context"
	"sync"
	"time"
)

// exchangeGuard monitors a worker's exchange and ends it once its deadline has
// passed, the target does not work on it, or all its sub-requests are cancelled.
type exchangeGuard struct {
	w *worker

	mu     sync.Mutex
	timer  *time.Timer
	active bool
	// round counts the exchanges, so that a check of an earlier one has no effect.
	round    uint64
	deadline time.Time
	// idempotent allows ending the exchange because the target's load report does
	// not include it.
	idempotent bool
	// items are the exchange's items; only their finished flag is read.
	items []*item
}

func newExchangeGuard(w *worker) *exchangeGuard {
	g := &exchangeGuard{w: w}
	g.timer = time.AfterFunc(time.Hour, g.check)
	g.timer.Stop()
	return g
}

// begin starts monitoring an exchange.
func (g *exchangeGuard) begin(batch []*item, deadline time.Time) {
	g.mu.Lock()
	g.active = true
	g.round++
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

// stop stops the guard permanently.
func (g *exchangeGuard) stop() { g.end() }

// next returns the time until the next check.
func (g *exchangeGuard) next() time.Duration {
	return max(0, min(g.w.p.l.limits.ProgressInterval, time.Until(g.deadline)))
}

// check runs on the timer's goroutine. It asks the target without holding the
// lock, so that the worker never waits for the target.
func (g *exchangeGuard) check() {
	g.mu.Lock()
	active, round, deadline, unfinished, idempotent := g.active, g.round, g.deadline, g.hasUnfinished(), g.idempotent
	g.mu.Unlock()
	if !active {
		return
	}
	cause := g.endCause(deadline, unfinished, idempotent)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active || g.round != round {
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
