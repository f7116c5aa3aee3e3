package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// submit queues the item or returns why it is refused.
func (p *pool) submit(it *item) *subquery.Answer {
	now := it.queuedAt
	p.mu.Lock()
	refused := p.refuses(it.req, now)
	if refused == nil {
		p.queue = append(p.queue, it)
		p.waiting++
	}
	p.mu.Unlock()
	if refused == nil {
		p.signal()
	}
	return refused
}

// refuses returns why the sub-request can't be taken now, nil if it can.
func (p *pool) refuses(req *subquery.Request, now time.Time) *subquery.Answer {
	switch {
	case !now.Before(req.Deadline):
		return refusal(verdict.DeadlinePassed, 0)
	case p.closed || p.yielded:
		return refusal(verdict.NotOwner, 0)
	case p.leaving:
		return refusal(verdict.TargetLeaving, 0)
	case now.Before(p.shedUntil):
		return refusal(verdict.TargetShed, p.shedUntil.Sub(now))
	case now.Before(p.downUntil):
		return refusal(verdict.TargetUnreachable, p.downUntil.Sub(now))
	case p.failures > 0 && p.waiting+p.running > 0:
		// One sub-request at a time tries a target that failed.
		return refusal(verdict.TargetUnreachable, p.l.limits.BackoffBase)
	}
	wait := p.predictedWait(now)
	if p.waiting >= p.slots*p.l.limits.QueuePerSlot {
		return refusal(verdict.QueueFull, wait)
	}
	if now.Add(wait + p.perItem).After(req.Deadline) {
		return refusal(verdict.PredictedWait, wait)
	}
	return nil
}

// predictedWait returns how long a sub-request queued now would wait.
func (p *pool) predictedWait(now time.Time) time.Duration {
	slots := p.activeSlots(now)
	ahead := p.waiting + p.running - (slots - 1)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.perItem / time.Duration(slots)
}

// activeSlots returns the slots in use: fewer while the target starts slowly.
func (p *pool) activeSlots(now time.Time) int {
	if p.returnedAt.IsZero() {
		return p.slots
	}
	age := now.Sub(p.returnedAt)
	if age >= p.l.limits.SlowStart {
		p.returnedAt = time.Time{}
		return p.slots
	}
	return max(1, int(float64(p.slots)*float64(age)/float64(p.l.limits.SlowStart)))
}

// signal wakes one worker.
func (p *pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
