package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// connect ensures that the worker has a connection that an exchange used within
// MaxIdle or that is new, and reports whether it does. If the dial fails, the batch
// is refused, and the queue as well unless a pause is in progress: no byte of them
// was sent, so they did not run.
func (w *worker) connect(batch []*item) bool {
	if w.conn != nil && time.Since(w.lastUsed) < w.p.l.limits.MaxIdle {
		return true
	}
	w.closeConn()
	conn, err := w.p.dial(w.p.l.limits.DialTimeout)
	if err == nil {
		w.conn = conn
		w.lastUsed = time.Now()
		return true
	}
	now := time.Now()
	pause := w.p.connectFailed(now, err)
	w.p.endExchange(len(batch), 0, false, now)
	w.p.finishAll(batch, notRunAnswer(verdict.TargetUnreachable, pause))
	return false
}

// dial opens one connection. The error is errQuota if the quota is used up. It wraps
// errRefused if the attempt failed before the timeout and before the pool closed.
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

// closeConn closes a connection that dial opened.
func (p *pool) closeConn(conn target.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	p.connections--
	p.mu.Unlock()
}

// markReachable records that the target answered. After failures, this begins the
// slow start.
func (p *pool) markReachable(now time.Time) {
	p.mu.Lock()
	p.answeredAt = now
	recovered := p.failures > 0
	if recovered {
		p.failures = 0
		p.downUntil = time.Time{}
		p.recoveredAt = now
	}
	p.mu.Unlock()
	if recovered {
		p.log().Info("target is reachable again: slow start begins")
	}
}

// connectFailed records that the target is unreachable, refuses the queue and
// returns the pause before the next attempt. During a pause it only returns the
// rest of that pause.
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
		p.log().WithError(err).Warn("target is unreachable")
	}
	p.refuseQueue(verdict.TargetUnreachable, pause)
	return pause
}

// maxBackoffDoublings bounds the doublings of BackoffBase, so that the shift does
// not overflow.
const maxBackoffDoublings = 16

// maintainConn keeps an idle worker's connection open: it opens one if there is
// none, probes it, and replaces it if the probe fails or no exchange has used it for
// MaxIdle. It does nothing if the slot needs no idle connection.
func (w *worker) maintainConn(now time.Time) {
	if !w.p.keepsIdleConn(w.slot, now) {
		return
	}
	if w.conn != nil && now.Sub(w.lastUsed) >= w.p.l.limits.MaxIdle {
		w.closeConn()
	}
	if w.conn != nil {
		if now.Sub(w.lastUsed) < w.p.l.limits.IdleProbe || w.probe() == nil {
			return
		}
		w.closeConn()
	}
	conn, err := w.p.dial(w.p.l.limits.DialTimeout)
	if err != nil {
		w.p.connectFailed(time.Now(), err)
		return
	}
	w.conn = conn
	w.lastUsed = time.Now()
}

// probe asks the target for its load over the worker's own connection. A failed
// probe alone does not mark the target as unreachable, since the load report may
// fail on a target that serves searches.
func (w *worker) probe() error {
	ctx, cancel := context.WithTimeout(w.p.ctx, w.p.l.limits.ProbeTimeout)
	defer cancel()
	load, err := w.conn.Probe(ctx)
	if err != nil {
		return err
	}
	w.p.applyProbe(&load)
	return nil
}

// keepsIdleConn reports whether a slot of the pool keeps a connection while it is
// idle. On the target's owner every slot does, on its standby only slot 0. After a
// failure only slot 0 does, to detect that the target has recovered. None does
// during the pause after a failure or in a suspended or closed pool.
func (p *pool) keepsIdleConn(slot int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended || p.closed || now.Before(p.downUntil) {
		return false
	}
	return slot == 0 || (p.owner && p.failures == 0)
}

// nextMaintenance returns the time after which an idle worker maintains its
// connection again.
func (p *pool) nextMaintenance(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left := p.downUntil.Sub(now); left > 0 {
		return min(left, p.l.limits.IdleProbe)
	}
	return p.l.limits.IdleProbe
}
