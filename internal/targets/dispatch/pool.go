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
	// quota is how many connections this host may have open to the target. slots of
	// them run exchanges; one more, if the quota allows it, is for cancellations and
	// probes.
	quota, slots int
	workers      []*worker
	ctl          *controlConn
	ctx          context.Context
	stop         context.CancelCauseFunc
	wake         chan struct{}

	mu    sync.Mutex
	queue []*item
	// waiting counts the queued items that are not taken.
	waiting int
	// running counts the items in exchanges, exchanges the running exchanges.
	running, exchanges int
	// connections counts the open connections and those being opened.
	connections int
	// owner is set if this host is the target's owner and not its standby, and always
	// in Direct mode.
	owner bool
	// suspended is set while this host may not dispatch to the target, and once this
	// pool was replaced.
	suspended bool
	leaving   bool
	closed    bool
	// timePerItem is the EWMA of the duration of an exchange divided by the number of
	// its items; zero until an exchange has succeeded.
	timePerItem time.Duration
	// shedUntil is the end of the pause after the target shed load.
	shedUntil time.Time
	// downUntil is the end of the pause before the next attempt to connect.
	downUntil time.Time
	// failures counts the consecutive failures to reach the target.
	failures int
	// answeredAt is the time of the target's last successful answer or probe.
	answeredAt time.Time
	// recoveredAt is the time of the first successful answer or probe after failures.
	// activeSlots sets it to zero after the slow start.
	recoveredAt time.Time
	// lastBusy is the time at which the last exchange ended or, before the first one,
	// the pool was created.
	lastBusy time.Time
	// silentEnds counts the exchanges ended with errSilent since silentSince.
	silentEnds  int
	silentSince time.Time
}

func newPool(l *Local, t *model.Target, quota int, owner bool) *pool {
	ctx, stop := context.WithCancelCause(context.Background())
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
		p.l.goroutines.Go(w.loop)
	}
	p.l.goroutines.Go(p.ctl.loop)
}

// setOwner sets whether this host is the target's owner or its standby.
func (p *pool) setOwner(owner bool) {
	p.mu.Lock()
	p.owner = owner
	p.mu.Unlock()
}

// suspend makes the pool refuse new sub-requests with reason NotOwner.
func (p *pool) suspend() {
	p.mu.Lock()
	p.suspended = true
	p.mu.Unlock()
}

// resume ends suspend.
func (p *pool) resume() {
	p.mu.Lock()
	p.suspended = false
	p.mu.Unlock()
}

// empty reports whether the pool has no sub-requests.
func (p *pool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting == 0 && p.running == 0
}

// idleFor reports whether the pool has no sub-requests and its last exchange ended
// at least d ago.
func (p *pool) idleFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting == 0 && p.running == 0 && time.Since(p.lastBusy) >= d
}

// close refuses the queue, stops the pool's goroutines and ends the running
// exchanges.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	if p.l.stopping.Load() {
		p.refuseQueue(verdict.HostStopping, 0)
		p.stop(errStopping)
		return
	}
	p.refuseQueue(verdict.NotOwner, 0)
	p.stop(nil)
}

func (p *pool) log() logrus.FieldLogger {
	return p.l.opts.Log.WithField("target", p.target.ID)
}
