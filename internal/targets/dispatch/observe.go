package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/withdrawal"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// defaultShedPause is the pause for a target that sheds load without a retry hint.
const defaultShedPause = 50 * time.Millisecond

// applyAnswer updates the target's state from an answer.
func (p *pool) applyAnswer(a *subquery.Answer, now time.Time) {
	if a.OK() {
		p.markReachable(now)
	}
	if a.Load.Leaving || a.Reason == verdict.TargetLeaving {
		p.setLeaving(true)
	}
	if a.Reason == verdict.TargetShed {
		p.pauseForShed(a.RetryAfter, now)
	}
}

// pauseForShed refuses all sub-requests until the target's retry hint, or
// defaultShedPause if there is none, has passed; at most for withdrawal.MaxPause.
func (p *pool) pauseForShed(hint time.Duration, now time.Time) {
	if hint <= 0 {
		hint = defaultShedPause
	}
	hint = min(hint, withdrawal.MaxPause)
	p.mu.Lock()
	until := now.Add(hint)
	if until.After(p.shedUntil) {
		p.shedUntil = until
	}
	p.mu.Unlock()
	p.refuseQueue(verdict.TargetShed, hint)
}

// applyProbe updates the target's state from a probe's load report. It can clear
// the leaving state but not set it: load reports may be wrong, so only the answer to
// a sub-request marks a target as leaving.
func (p *pool) applyProbe(load *subquery.Load) {
	p.markReachable(time.Now())
	if !load.Leaving {
		p.setLeaving(false)
	}
}

// setLeaving changes the leaving state. When a target begins to leave, its queue is
// refused and OnLeaving is called.
func (p *pool) setLeaving(leaving bool) {
	p.mu.Lock()
	changed := p.leaving != leaving
	p.leaving = leaving
	p.mu.Unlock()
	if !changed {
		return
	}
	if !leaving {
		p.log().Info("target accepts work again")
		return
	}
	p.log().Info("target is leaving")
	p.refuseQueue(verdict.TargetLeaving, 0)
	if p.l.opts.OnLeaving != nil {
		p.l.opts.OnLeaving(p.target.ID)
	}
}

// processDied reports whether the target's process died, after a connection broke
// during an exchange. If it died, the control connection is broken as well, or nothing
// listens at the target's address; the loss of a single connection causes neither. Other
// failures to connect may be this host's own, or those of a target at its connection limit.
func (p *pool) processDied(now time.Time) bool {
	if p.ctl.lostConnection() {
		return true
	}
	conn, err := p.dial(p.l.limits.ProbeTimeout)
	if err != nil {
		p.connectFailed(now, err)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.closeConn(conn)
	return false
}

// lostConnection reports whether the control connection was open and a probe on it
// fails now other than by its timeout. If so, it closes the connection.
func (c *controlConn) lostConnection() bool {
	c.connMu.Lock()
	defer c.connMu.Unlock()
	if c.conn == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.p.ctx, c.p.l.limits.ProbeTimeout)
	defer cancel()
	if _, err := c.conn.Probe(ctx); err == nil || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	c.disconnect()
	return true
}

// reportCrash logs the crash and calls OnCrash for each item of the exchange during
// which it happened.
func (p *pool) reportCrash(items []*item) {
	if len(items) == 0 {
		return
	}
	p.log().WithField("subrequests", len(items)).Warn("target died while it ran sub-requests")
	if p.l.opts.OnCrash == nil {
		return
	}
	for _, it := range items {
		p.l.opts.OnCrash(it.req)
	}
}
