package dispatch

import (
	"context"
	"sync"
	"time"
)

// guard watches a worker's exchange and ends it once it is past its deadline,
// makes no progress or is no longer wanted.
type guard struct {
	w *worker

	mu       sync.Mutex
	timer    *time.Timer
	active   bool
	round    uint64
	deadline time.Time
	// idempotent exchanges are ended where the target seems not to know them.
	idempotent bool
	// items are those of the exchange; only their finished flag is read.
	items []*item
}

func newGuard(w *worker) *guard {
	g := &guard{w: w}
	g.timer = time.AfterFunc(time.Hour, g.check)
	g.timer.Stop()
	return g
}

// begin starts to watch an exchange.
func (g *guard) begin(batch []*item, deadline time.Time) {
	g.mu.Lock()
	g.active = true
	g.round++
	g.deadline = deadline.Add(deadlineSlack)
	g.idempotent = batch[0].req.Idempotent
	g.items = append(g.items[:0], batch...)
	g.timer.Reset(g.next())
	g.mu.Unlock()
}

// end stops watching the exchange.
func (g *guard) end() {
	g.mu.Lock()
	g.active = false
	g.timer.Stop()
	clear(g.items)
	g.mu.Unlock()
}

// stop ends the guard for good.
func (g *guard) stop() { g.end() }

// next returns the time to the next check.
func (g *guard) next() time.Duration {
	return max(0, min(g.w.p.l.limits.Progress, time.Until(g.deadline)))
}

// check runs on a timer's goroutine. The target is asked without the lock, so
// that the worker never waits for it.
func (g *guard) check() {
	g.mu.Lock()
	active, round, deadline, wanted, idempotent := g.active, g.round, g.deadline, g.wanted(), g.idempotent
	g.mu.Unlock()
	if !active {
		return
	}
	cause := g.judge(deadline, wanted, idempotent)
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

// wanted reports whether anyone still waits for the exchange. mu must be held.
func (g *guard) wanted() bool {
	for _, it := range g.items {
		if it != nil && !it.finished.Load() {
			return true
		}
	}
	return false
}

// judge returns why the exchange must end, nil if it may go on.
func (g *guard) judge(deadline time.Time, wanted, idempotent bool) error {
	if !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	err := g.w.p.progress(idempotent)
	if err == nil && !wanted {
		return errUnwanted
	}
	return err
}
