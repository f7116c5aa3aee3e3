package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/subquery"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// pool holds this host's connections to one target and the sub-requests that
// wait for them.
type pool struct {
	l      *Local
	target *model.Target
	// slots is how many exchanges may run; one further connection is for
	// cancellations and probes if the quota allows it.
	slots int
	ctl   *controlConn
	ctx   context.Context
	stop  context.CancelFunc
	wake  chan struct{}

	mu    sync.Mutex
	queue []*item
	// waiting counts the queued items that are not finished.
	waiting int
	// running counts items in exchanges, exchanges the exchanges.
	running, exchanges int
	// owner is false while this host only stands by.
	owner bool
	// yielded is set once the target belongs to another host.
	yielded bool
	leaving bool
	closed  bool
	// perItem is the EWMA of exchange time for each sub-request.
	perItem    time.Duration
	shedUntil  time.Time
	downUntil  time.Time
	failures   int
	returnedAt time.Time
	lastBusy   time.Time
}

func newPool(l *Local, t *model.Target, quota int, owner bool) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{l: l, target: t, owner: owner, ctx: ctx, stop: cancel, lastBusy: time.Now()}
	p.slots = max(1, min(t.Slots, quota-1))
	p.wake = make(chan struct{}, p.slots)
	p.ctl = newControlConn(p, quota > p.slots)
	return p
}

// start launches the pool's goroutines.
func (p *pool) start() {
	for i := range p.slots {
		w := &worker{p: p, index: i}
		p.l.running.Go(w.loop)
	}
	p.l.running.Go(p.ctl.loop)
}

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

// cancel gives an item up: from the queue at once, from the target by asking it.
func (p *pool) cancel(it *item) {
	p.mu.Lock()
	taken := it.taken
	if !taken {
		p.waiting--
		it.taken = true
	}
	p.mu.Unlock()
	if !taken {
		it.finish(refusal(verdict.Cancelled, 0))
		return
	}
	if it.finish(unknown(verdict.Cancelled)) {
		p.ctl.cancel(it.id)
	}
}

// dropExpired finishes queued items whose deadline passed.
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
	p.finishAll(expired, refusal(verdict.DeadlinePassed, 0))
}

// refuseQueue refuses everything that waits.
func (p *pool) refuseQueue(r verdict.Reason, retryAfter time.Duration) {
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
	p.finishAll(refused, refusal(r, retryAfter))
}

func (p *pool) finishAll(items []*item, a *subquery.Answer) {
	for _, it := range items {
		p.l.counters.refused(a.Reason)
		answer := *a
		it.finish(&answer)
	}
}

// setRole says whether this host owns the target or stands by.
func (p *pool) setRole(owner bool) {
	p.mu.Lock()
	p.owner = owner
	p.mu.Unlock()
}

// yield takes no new work since the target belongs to another host.
func (p *pool) yield() {
	p.mu.Lock()
	p.yielded = true
	p.mu.Unlock()
}

// resume takes new work again.
func (p *pool) resume() {
	p.mu.Lock()
	p.yielded = false
	p.mu.Unlock()
}

func (p *pool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting == 0 && p.running == 0
}

// idleFor reports whether the pool has had no work for d.
func (p *pool) idleFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting == 0 && p.running == 0 && time.Since(p.lastBusy) >= d
}

// close ends the pool's goroutines and breaks what still runs.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.refuseQueue(verdict.NotOwner, 0)
	p.stop()
}

func (p *pool) log() logrus.FieldLogger {
	return p.l.opts.Log.WithField("target", p.target.ID)
}
