package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// defaultShedPause applies to a shedding target that gave no hint.
const defaultShedPause = 50 * time.Millisecond

// absorb takes in what an answer says about the target's state.
func (p *pool) absorb(a *subquery.Answer, now time.Time) {
	if a.OK() {
		p.proved(now)
	}
	if a.Load.Leaving || a.Reason == verdict.TargetLeaving {
		p.setLeaving(true)
	}
	if a.Reason == verdict.TargetShed {
		p.shed(a.RetryAfter, now)
	}
}

// shed sends nothing until the target's hint has passed.
func (p *pool) shed(hint time.Duration, now time.Time) {
	if hint <= 0 {
		hint = defaultShedPause
	}
	p.mu.Lock()
	until := now.Add(hint)
	if until.After(p.shedUntil) {
		p.shedUntil = until
	}
	p.mu.Unlock()
	p.refuseQueue(verdict.TargetShed, hint)
}

// probed takes in a probe's load report. Health endpoints mislead: a probe ends
// a target's leaving, but only an answer begins it.
func (p *pool) probed(load *subquery.Load) {
	p.proved(time.Now())
	if !load.Leaving {
		p.setLeaving(false)
	}
}

func (p *pool) setLeaving(leaving bool) {
	p.mu.Lock()
	changed := p.leaving != leaving
	p.leaving = leaving
	p.mu.Unlock()
	if !changed {
		return
	}
	if !leaving {
		p.log().Info("target takes work again")
		return
	}
	p.log().Info("target is leaving")
	p.refuseQueue(verdict.TargetLeaving, 0)
	if p.l.opts.OnLeaving != nil {
		p.l.opts.OnLeaving(p.target.ID)
	}
}

// died reports whether the target's process died, after a connection broke in
// an exchange. A process that died refuses connections, or has lost the
// connection for probes as well; one cut connection does neither.
func (p *pool) died(now time.Time) bool {
	if p.ctl.lost() {
		return true
	}
	conn, err := p.dial(p.l.limits.ProbeTimeout)
	if err != nil {
		p.connectFailed(now, err)
		return errors.Is(err, errRefused)
	}
	p.hangUp(conn)
	return false
}

// lost reports whether the connection for probes was open and is dead now.
func (c *controlConn) lost() bool {
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
	c.drop()
	return true
}

// reportCrash tells of each sub-request that ran when the target died.
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
