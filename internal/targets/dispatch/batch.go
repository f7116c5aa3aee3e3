package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// nextBatch returns the items of the next exchange in the buffer batch, which must
// be empty. It returns it empty if no item waits, all active slots run exchanges or
// the pool is closed. It finishes the expired items that it finds.
func (p *pool) nextBatch(now time.Time, batch []*item) []*item {
	p.mu.Lock()
	if p.closed || p.exchanges >= p.activeSlots(now) {
		p.mu.Unlock()
		return batch
	}
	batch, expired := p.collectBatch(now, batch)
	p.waiting -= len(batch) + len(expired)
	p.running += len(batch)
	if len(batch) > 0 {
		p.exchanges++
	}
	more := p.waiting > 0
	p.mu.Unlock()
	p.finishAll(expired, notRunAnswer(verdict.DeadlinePassed, 0))
	if more {
		p.wakeWorker()
	}
	return batch
}

// collectBatch removes the first unexpired item from the queue. If it is
// idempotent, collectBatch also removes the idempotent items that follow it, up to
// batchSize items and to the first item that is not idempotent. Expired items are
// removed and returned separately. mu must be held.
func (p *pool) collectBatch(now time.Time, batch []*item) (taken, expired []*item) {
	size := 1
	next := 0
	for ; next < len(p.queue) && len(batch) < size; next++ {
		it := p.queue[next]
		if it.taken {
			continue
		}
		if !now.Before(it.req.Deadline) {
			it.taken = true
			expired = append(expired, it)
			continue
		}
		if len(batch) > 0 && !it.req.Idempotent {
			break
		}
		it.taken = true
		if len(batch) == 0 && it.req.Idempotent {
			size = p.batchSize()
		}
		batch = append(batch, it)
	}
	p.dequeue(next)
	return batch, expired
}

// dequeue removes the first n items of the queue.
func (p *pool) dequeue(n int) {
	rest := copy(p.queue, p.queue[n:])
	clear(p.queue[rest:])
	p.queue = p.queue[:rest]
}

// batchSize returns the maximum number of items in the next exchange: one if no
// duration is known yet, or if there are at least as many free slots as waiting
// items. Slots that are inactive during the slow start count as free. Otherwise it
// is a slot's equal share of the waiting items, bounded by MaxBatch and by the number
// of items whose expected total time is BatchTime, but at least one. mu must be held.
func (p *pool) batchSize() int {
	free := p.slots - p.exchanges
	if p.waiting <= free || p.timePerItem <= 0 {
		return 1
	}
	byTime := int(p.l.limits.BatchTime / p.timePerItem)
	share := (p.waiting + p.slots - 1) / p.slots
	return max(1, min(p.l.limits.MaxBatch, byTime, share))
}

// endExchange records the end of an exchange of n items and, if it succeeded, its
// duration. It wakes a worker if items wait.
func (p *pool) endExchange(n int, took time.Duration, succeeded bool, now time.Time) {
	p.mu.Lock()
	p.running -= n
	p.exchanges--
	p.lastBusy = now
	if succeeded {
		p.recordItemTime(took / time.Duration(n))
	}
	more := p.waiting > 0
	p.mu.Unlock()
	if more {
		p.wakeWorker()
	}
}

// recordItemTime adds a sample to timePerItem. mu must be held.
func (p *pool) recordItemTime(d time.Duration) {
	if p.timePerItem == 0 {
		p.timePerItem = d
		return
	}
	p.timePerItem += (d - p.timePerItem) / ewmaDivisor
}
