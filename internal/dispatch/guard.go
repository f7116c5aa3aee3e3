package dispatch

import (
	"context"
	"errors"
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
	active, round, deadline, wanted := g.active, g.round, g.deadline, g.wanted()
	g.mu.Unlock()
	if !active {
		return
	}
	cause := g.judge(deadline, wanted)
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
func (g *guard) judge(deadline time.Time, wanted bool) error {
	if !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	if err := g.w.p.progress(); err != nil {
		return err
	}
	if !wanted {
		return errUnwanted
	}
	return nil
}

// progress asks the target, over another connection, whether it works on all
// that this host has had there for a while.
func (p *pool) progress() error {
	load, err := p.ctl.probe()
	now := time.Now()
	if err != nil {
		return p.stalled(now, err)
	}
	if int64(load.Inflight+load.Queued) < p.longRunning(now) {
		return errSilent
	}
	return nil
}

// stalled returns errStalled unless the target gave an answer a moment ago: a
// health endpoint may fail on a target that works.
func (p *pool) stalled(now time.Time, err error) error {
	p.mu.Lock()
	lately := now.Sub(p.answeredAt) < 2*p.l.limits.Progress
	p.mu.Unlock()
	if lately || errors.Is(err, errNoControlConn) {
		return nil
	}
	p.connectFailed(now, err)
	return errStalled
}

// longRunning counts the sub-requests in exchanges that began at least a
// Progress ago, so that the target must know of them.
func (p *pool) longRunning(now time.Time) int64 {
	since := now.Add(-p.l.limits.Progress).UnixNano()
	n := int64(0)
	for _, w := range p.workers {
		if began := w.busySince.Load(); began != 0 && began <= since {
			n += w.asked.Load()
		}
	}
	return n
}
