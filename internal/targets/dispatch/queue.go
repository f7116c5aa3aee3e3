package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// cancel finishes an item as cancelled. An item that still waits in the queue is
// marked as taken and does not run. Otherwise the target is asked to cancel it,
// unless it is already finished.
func (p *pool) cancel(it *item) {
	p.mu.Lock()
	taken := it.taken
	if !taken {
		p.waiting--
		it.taken = true
	}
	p.mu.Unlock()
	if !taken {
		it.finish(notRunAnswer(verdict.Cancelled, 0))
		return
	}
	if it.finish(unknownAnswer(verdict.Cancelled)) {
		p.ctl.cancel(it.id)
	}
}

// dropExpired finishes the queued items whose deadline has passed.
func (p *pool) dropExpired() {
	now := time.Now()
	p.mu.Lock()
	var expired []*item
	kept := p.queue[:0]
	for _, it := range p.queue {
		if !now.Before(it.req.Deadline) && !it.taken {
			p.waiting--
			it.taken = true
			expired = append(expired, it)
			continue
		}
		kept = append(kept, it)
	}
	p.queue = kept
	p.mu.Unlock()
	p.finishAll(expired, notRunAnswer(verdict.DeadlinePassed, 0))
}

// refuseQueue refuses all queued items and returns how many there were.
func (p *pool) refuseQueue(r verdict.Reason, retryAfter time.Duration) int {
	p.mu.Lock()
	var refused []*item
	for _, it := range p.queue {
		if !it.taken {
			it.taken = true
			refused = append(refused, it)
		}
	}
	p.queue = p.queue[:0]
	p.waiting = 0
	p.mu.Unlock()
	p.finishAll(refused, notRunAnswer(r, retryAfter))
	return len(refused)
}

// finishAll finishes each item with a copy of the answer and counts it as refused.
func (p *pool) finishAll(items []*item, a *subquery.Answer) {
	for _, it := range items {
		p.l.counters.refused(a.Reason)
		answer := *a
		it.finish(&answer)
	}
}
