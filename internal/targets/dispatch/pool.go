package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// pool holds this host's connections to one target and the sub-requests that
// wait for them.
type pool struct {
	l      *Local
	target *model.Target
	// quota is how many connections this host may have open. slots of them run
	// exchanges; one further is for cancellations and probes if there is one.
	quota, slots int
	workers      []*worker
	ctl          *controlConn
	ctx          context.Context
	stop         context.CancelFunc
	wake         chan struct{}

	mu    sync.Mutex
	queue []*item
	// waiting counts the queued items that are not finished.
	waiting int
	// running counts items in exchanges, exchanges the exchanges.
	running, exchanges int
	// connections counts the open connections and those being opened.
	connections int
	// owner is false while this host only stands by.
	owner bool
	// yielded is set once the target belongs to another host.
	yielded bool
	leaving bool
	closed  bool
	// perItem is the EWMA of exchange time for each sub-request.
	perItem   time.Duration
	shedUntil time.Time
	downUntil time.Time
	// failures counts the failures to reach the target in a row.
	failures int
	// answeredAt is when the target last gave an answer.
	answeredAt time.Time
	// returnedAt is when the target came back, zero if it did not fail lately.
	returnedAt time.Time
	lastBusy   time.Time
	// silentCuts counts the exchanges ended as silent since silentSince.
	silentCuts  int
	silentSince time.Time
}

func newPool(l *Local, t *model.Target, quota int, owner bool) *pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &pool{l: l, target: t, owner: owner, quota: quota, ctx: ctx, stop: stop, lastBusy: time.Now()}
	p.slots = max(1, min(t.Slots, quota-1))
	p.wake = make(chan struct{}, p.slots)
	p.ctl = newControlConn(p, quota > p.slots)
	for i := range p.slots {
		p.workers = append(p.workers, newWorker(p, i))
	}
	return p
}

// start launches the pool's goroutines.
func (p *pool) start() {
	for _, w := range p.workers {
		p.l.running.Go(w.loop)
	}
	p.l.running.Go(p.ctl.loop)
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
