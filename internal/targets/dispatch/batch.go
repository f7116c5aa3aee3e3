package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// take appends to batch the items of the next exchange, none if there is no work
// or no slot for it.
func (p *pool) take(now time.Time, batch []*item) []*item {
	p.mu.Lock()
	if p.closed || p.exchanges >= p.activeSlots(now) {
		p.mu.Unlock()
		return batch
	}
	batch, expired := p.collect(now, batch)
	p.waiting -= len(batch) + len(expired)
	p.running += len(batch)
	if len(batch) > 0 {
		p.exchanges++
	}
	more := p.waiting > 0
	p.mu.Unlock()
	p.finishAll(expired, refusal(verdict.DeadlinePassed, 0))
	if more {
		p.signal()
	}
	return batch
}

// collect takes the first item off the queue and, if more wait than slots are
// free, those that may share its exchange.
func (p *pool) collect(now time.Time, batch []*item) (taken, expired []*item) {
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

// batchSize returns how many of the waiting items share the next exchange: one
// while the free slots suffice, and as many as keep the time that the batch
// adds to its first member under BatchTime after that.
func (p *pool) batchSize() int {
	free := p.slots - p.exchanges
	if p.waiting <= free || p.perItem <= 0 {
		return 1
	}
	byTime := int(p.l.limits.BatchTime / p.perItem)
	share := (p.waiting + p.slots - 1) / p.slots
	return max(1, min(p.l.limits.MaxBatch, byTime, share))
}

// release ends an exchange of n items.
func (p *pool) release(n int, took time.Duration, succeeded bool, now time.Time) {
	p.mu.Lock()
	p.running -= n
	p.exchanges--
	p.lastBusy = now
	if succeeded {
		p.observe(took / time.Duration(n))
	}
	more := p.waiting > 0
	p.mu.Unlock()
	if more {
		p.signal()
	}
}

// observe adds a sample of the time that one sub-request takes.
func (p *pool) observe(d time.Duration) {
	if p.perItem == 0 {
		p.perItem = d
		return
	}
	p.perItem += (d - p.perItem) / ewmaDivisor
}
