package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// connect makes sure that the worker has a connection. If it can't, the batch
// and everything queued is refused, since no byte of it was sent.
func (w *worker) connect(batch []*item) bool {
	if w.conn != nil && time.Since(w.lastUsed) < w.p.l.limits.MaxIdle {
		return true
	}
	w.hangUp()
	conn, err := w.p.dial(w.p.l.limits.DialTimeout)
	if err == nil {
		w.conn = conn
		w.lastUsed = time.Now()
		return true
	}
	now := time.Now()
	pause := w.p.connectFailed(now, err)
	w.p.release(len(batch), 0, false, now)
	w.p.finishAll(batch, refusal(verdict.TargetUnreachable, pause))
	return false
}

// dial opens one connection within the quota. The error is errRefused if the
// other end, or the network, answered in time.
func (p *pool) dial(timeout time.Duration) (target.Conn, error) {
	p.mu.Lock()
	if p.connections >= p.quota {
		p.mu.Unlock()
		return nil, errQuota
	}
	p.connections++
	p.mu.Unlock()
	p.l.counters.dials.Inc(1)
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	conn, err := p.l.opts.Dialer.Dial(ctx, p.target, timeout)
	if err != nil {
		p.l.counters.dialFailures.Inc(1)
		p.mu.Lock()
		p.connections--
		p.mu.Unlock()
		if ctx.Err() == nil {
			err = fmt.Errorf("%w: %w", errRefused, err)
		}
		return nil, err
	}
	return conn, nil
}

// hangUp closes a connection that dial opened.
func (p *pool) hangUp(conn target.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	p.connections--
	p.mu.Unlock()
}

// proved notes that the target answered. After a failure that starts the slow
// start.
func (p *pool) proved(now time.Time) {
	p.mu.Lock()
	p.answeredAt = now
	back := p.failures > 0
	if back {
		p.failures = 0
		p.downUntil = time.Time{}
		p.returnedAt = now
	}
	p.mu.Unlock()
	if back {
		p.log().Info("target answers again: starting slowly")
	}
}

// connectFailed notes that the target can't be reached, refuses what waits and
// returns the pause until the next attempt.
func (p *pool) connectFailed(now time.Time, err error) time.Duration {
	p.mu.Lock()
	if left := p.downUntil.Sub(now); left > 0 {
		p.mu.Unlock()
		return left
	}
	p.failures++
	pause := min(p.l.limits.BackoffBase<<min(p.failures-1, maxBackoffDoublings), p.l.limits.BackoffMax)
	p.downUntil = now.Add(pause)
	first := p.failures == 1
	p.mu.Unlock()
	if first {
		p.log().WithError(err).Warn("target can't be reached")
	}
	p.refuseQueue(verdict.TargetUnreachable, pause)
	return pause
}

const maxBackoffDoublings = 16

// maintain keeps an idle worker's connection warm.
func (w *worker) maintain(now time.Time) {
	if !w.p.wantsWarm(w.index, now) {
		return
	}
	if w.conn != nil && now.Sub(w.lastUsed) >= w.p.l.limits.MaxIdle {
		w.hangUp()
	}
	if w.conn != nil {
		if now.Sub(w.lastUsed) < w.p.l.limits.IdleProbe || w.probe() == nil {
			return
		}
		w.hangUp()
	}
	conn, err := w.p.dial(w.p.l.limits.DialTimeout)
	if err != nil {
		w.p.connectFailed(time.Now(), err)
		return
	}
	w.conn = conn
	w.lastUsed = time.Now()
}

// probe asks the target for its load over the worker's own connection. A target
// that fails to report is not put off for that: health endpoints mislead.
func (w *worker) probe() error {
	ctx, cancel := context.WithTimeout(w.p.ctx, w.p.l.limits.ProbeTimeout)
	defer cancel()
	load, err := w.conn.Probe(ctx)
	if err != nil {
		return err
	}
	w.p.probed(&load)
	return nil
}

// wantsWarm reports whether the slot keeps a connection while it is idle: all
// slots of an owner do, and one of a host that stands by. While the target is
// down, one slot looks whether it is back.
func (p *pool) wantsWarm(index int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.yielded || p.closed || now.Before(p.downUntil) {
		return false
	}
	return index == 0 || (p.owner && p.failures == 0)
}

// nextMaintenance returns the time to the next look at an idle connection.
func (p *pool) nextMaintenance(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left := p.downUntil.Sub(now); left > 0 {
		return min(left, p.l.limits.IdleProbe)
	}
	return p.l.limits.IdleProbe
}
