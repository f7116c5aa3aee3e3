package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// cancelGrace bounds the wait for targets to end the exchanges that a stop cancelled.
const cancelGrace = 250 * time.Millisecond

// Inflight returns the number of sub-requests that wait or run.
func (l *Local) Inflight() int {
	n := 0
	for _, p := range l.allPools() {
		n += p.inflight()
	}
	return n
}

// Unfinished returns the number of sub-requests that Stop answered before their end.
func (l *Local) Unfinished() int { return int(l.unfinished.Load()) }

// allPools returns the pools in use and those that were replaced.
func (l *Local) allPools() []*pool {
	l.poolsMu.Lock()
	defer l.poolsMu.Unlock()
	pools := append([]*pool(nil), l.retiring...)
	for _, p := range *l.pools.Load() {
		pools = append(pools, p)
	}
	return pools
}

// answerUnfinished answers all sub-requests with HostStopping and asks the targets to
// cancel those that run. If the time of ctx has passed, rather than that it was cancelled,
// it gives the targets cancelGrace to do so.
func (l *Local) answerUnfinished(ctx context.Context) {
	if ctx.Err() == nil {
		return
	}
	for _, p := range l.allPools() {
		l.unfinished.Add(int64(p.answerUnfinished()))
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	grace, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	l.drain(grace)
}

// answerUnfinished answers the pool's sub-requests and returns how many there were.
// Those that are about to be sent are answered when the pool closes.
func (p *pool) answerUnfinished() int {
	answered := p.refuseQueue(verdict.HostStopping, 0)
	for _, w := range p.workers {
		for _, it := range w.guard.running() {
			if it.finish(unknownAnswer(verdict.HostStopping)) {
				p.l.counters.failed(verdict.HostStopping)
				p.ctl.cancel(it.id)
				answered++
			}
		}
	}
	return answered
}

func (p *pool) inflight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting + p.running
}
