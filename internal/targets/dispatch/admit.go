package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// submit queues the item, or returns the answer with which it is refused.
func (p *pool) submit(it *item) *subquery.Answer {
	now := it.queuedAt
	p.mu.Lock()
	refused := p.refusalFor(it.req, now)
	if refused == nil {
		p.queue = append(p.queue, it)
		p.waiting++
	}
	p.mu.Unlock()
	if refused == nil {
		p.wakeWorker()
	}
	return refused
}

// refusalFor returns the answer for a sub-request that can't be queued now, nil if
// it can. mu must be held.
func (p *pool) refusalFor(req *subquery.Request, now time.Time) *subquery.Answer {
	switch {
	case !now.Before(req.Deadline):
		return notRunAnswer(verdict.DeadlinePassed, 0)
	case p.closed || p.suspended:
		return notRunAnswer(verdict.NotOwner, 0)
	case p.leaving:
		return notRunAnswer(verdict.TargetLeaving, 0)
	case now.Before(p.shedUntil):
		return notRunAnswer(verdict.TargetShed, p.shedUntil.Sub(now))
	case now.Before(p.downUntil):
		return notRunAnswer(verdict.TargetUnreachable, p.downUntil.Sub(now))
	case p.failures > 0 && p.waiting+p.running > 0:
		// After a failure, only one sub-request at a time is sent until the target has
		// answered.
		return notRunAnswer(verdict.TargetUnreachable, p.l.limits.BackoffBase)
	}
	wait := p.predictedWait(now)
	if p.waiting >= p.slots*p.l.limits.QueuePerSlot {
		return notRunAnswer(verdict.QueueFull, wait)
	}
	if now.Add(wait + p.timePerItem).After(req.Deadline) {
		return notRunAnswer(verdict.PredictedWait, wait)
	}
	return nil
}

// predictedWait returns how long a sub-request queued now is expected to wait. mu
// must be held.
func (p *pool) predictedWait(now time.Time) time.Duration {
	slots := p.activeSlots(now)
	ahead := p.waiting + p.running - (slots - 1)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.timePerItem / time.Duration(slots)
}

// activeSlots returns how many slots may run exchanges: fewer than all during the
// slow start of a recovered target. It clears recoveredAt once the slow start has
// passed. mu must be held.
func (p *pool) activeSlots(now time.Time) int {
	if p.recoveredAt.IsZero() {
		return p.slots
	}
	age := now.Sub(p.recoveredAt)
	if age >= p.l.limits.SlowStart {
		p.recoveredAt = time.Time{}
		return p.slots
	}
	return max(1, int(float64(p.slots)*float64(age)/float64(p.l.limits.SlowStart)))
}

// wakeWorker wakes one worker if any is idle.
func (p *pool) wakeWorker() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
