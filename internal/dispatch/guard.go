package dispatch

import (
	"context"
	"sync"
	"time"
)

// guard ends an exchange that passes its deadline or makes no progress. The
// target is asked over another connection before an exchange counts as silent.
type guard struct {
	p        *pool
	cancel   context.CancelCauseFunc
	deadline time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newGuard starts to watch an exchange.
func newGuard(p *pool, cancel context.CancelCauseFunc, deadline time.Time) *guard {
	g := &guard{p: p, cancel: cancel, deadline: deadline}
	g.mu.Lock()
	g.timer = time.AfterFunc(g.next(), g.check)
	g.mu.Unlock()
	return g
}

// next returns the time to the next check.
func (g *guard) next() time.Duration {
	return max(0, min(g.p.l.limits.Progress, time.Until(g.deadline)))
}

// check runs on a timer's goroutine, at most one at a time.
func (g *guard) check() {
	if !time.Now().Before(g.deadline) {
		g.cancel(context.DeadlineExceeded)
		return
	}
	if !g.p.progresses() {
		g.cancel(errSilent)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.timer.Reset(g.next())
	}
}

// stop ends the watch.
func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

// progresses asks the target whether it works on as many sub-requests as this
// host has there. A target that does not answer makes no progress either.
func (p *pool) progresses() bool {
	load, err := p.ctl.probe()
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return load.Inflight+load.Queued >= min(p.running, 1)
}
