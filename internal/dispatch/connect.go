package dispatch

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/target"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// connect makes sure that the worker has a connection. If it can't, the batch
// and everything queued is refused, since no byte of it was sent.
func (w *worker) connect(batch []*item) bool {
	if w.conn != nil && time.Since(w.lastUsed) < w.p.l.limits.MaxIdle {
		return true
	}
	w.drop()
	conn, err := w.p.dial()
	if err == nil {
		w.conn = conn
		w.lastUsed = time.Now()
		return true
	}
	now := time.Now()
	pause := w.p.connectFailed(now, err)
	w.p.release(batch, 0, false, now)
	w.p.finishAll(batch, refusal(verdict.TargetUnreachable, pause))
	w.p.refuseQueue(verdict.TargetUnreachable, pause)
	return false
}

// dial opens one connection.
func (p *pool) dial() (target.Conn, error) {
	p.l.counters.dials.Inc(1)
	ctx, cancel := context.WithTimeout(p.ctx, p.l.limits.DialTimeout)
	defer cancel()
	conn, err := p.l.opts.Dialer.Dial(ctx, p.target, p.l.limits.DialTimeout)
	if err != nil {
		p.l.counters.dialFailures.Inc(1)
		return nil, err
	}
	p.connected(time.Now())
	return conn, nil
}

// connected notes that the target accepts connections.
func (p *pool) connected(now time.Time) {
	p.mu.Lock()
	back := p.failures > 0
	if back {
		p.failures = 0
		p.downUntil = time.Time{}
		p.returnedAt = now
	}
	p.mu.Unlock()
	if back {
		p.log().Info("target accepts connections again: starting slowly")
	}
}

// connectFailed notes a failed attempt to connect and returns the pause.
func (p *pool) connectFailed(now time.Time, err error) time.Duration {
	p.mu.Lock()
	p.failures++
	pause := min(p.l.limits.BackoffBase<<min(p.failures-1, maxBackoffDoublings), p.l.limits.BackoffMax)
	p.downUntil = now.Add(pause)
	first := p.failures == 1
	p.mu.Unlock()
	if first {
		p.log().WithError(err).Warn("target refuses connections")
	}
	return pause
}

const maxBackoffDoublings = 16

// maintain keeps an idle worker's connection warm.
func (w *worker) maintain() {
	if !w.p.wantsWarm(w.index) {
		return
	}
	now := time.Now()
	if w.conn != nil && now.Sub(w.lastUsed) >= w.p.l.limits.MaxIdle {
		w.drop()
	}
	if w.conn == nil {
		w.warm(now)
		return
	}
	if now.Sub(w.lastUsed) < w.p.l.limits.IdleProbe {
		return
	}
	ctx, cancel := context.WithTimeout(w.p.ctx, w.p.l.limits.ProbeTimeout)
	defer cancel()
	load, err := w.conn.Probe(ctx)
	if err != nil || w.conn.Broken() {
		w.drop()
		w.warm(now)
		return
	}
	w.p.probed(&load)
}

// warm opens a connection ahead of need unless the target is backed off.
func (w *worker) warm(now time.Time) {
	if w.p.backedOff(now) {
		return
	}
	conn, err := w.p.dial()
	if err != nil {
		w.p.connectFailed(time.Now(), err)
		return
	}
	w.conn = conn
	w.lastUsed = time.Now()
}

func (p *pool) backedOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.downUntil)
}

// wantsWarm reports whether the slot keeps a connection while it is idle: all
// slots of an owner do, and one of a host that stands by.
func (p *pool) wantsWarm(index int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.yielded && !p.closed && (p.owner || index == 0)
}
