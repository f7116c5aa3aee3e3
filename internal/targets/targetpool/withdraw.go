package targetpool

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/withdrawal"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// resumeSpread is the time over which hosts reopen connections after a pause, so
	// that they don't all return at once.
	resumeSpread = 250 * time.Millisecond
	// maxWithdrawn bounds the number of targets without a pool that are remembered.
	maxWithdrawn = 8192
)

// withdrawn is what follows from a reply that says that the target leaves or pauses.
type withdrawn struct {
	// calls waited for a connection; they end with err.
	calls []*Call
	err   error
	// left is set if the target has just reported that it is leaving.
	left bool
}

// noteWithdrawal records what a reply says about further requests to the target and
// takes the waiting calls from the queue, so that they can go to another replica. The
// caller holds the lock and passes the result to endWithdrawn after releasing it.
func (p *Pool) noteWithdrawal(reply *exchange.Reply, now time.Time) withdrawn {
	var w withdrawn
	if reply.InvalidPause {
		p.scope.Counter("target_pauses_invalid").Inc(1)
	}
	if reply.Pause > 0 {
		p.pause(reply.Pause, now)
		w.calls, w.err = p.takeWaiting(), ErrPaused
	}
	if reply.Leaving && p.withdrawal.Leave(now, p.drain) {
		p.scope.Counter("targets_leaving").Inc(1)
		p.log.WithField("usable_ms", p.drain.Milliseconds()).Info("target reports that it is leaving")
		p.warm = 0
		p.scheduleTrim()
		w.left = true
		w.calls, w.err = append(w.calls, p.takeWaiting()...), ErrLeaving
	}
	return w
}

// pause records a pause and schedules the connections after it. The caller holds the
// lock.
func (p *Pool) pause(wanted time.Duration, now time.Time) {
	p.withdrawal.Pause(now, wanted)
	left := p.withdrawal.PauseLeft(now)
	p.scope.Counter("target_pauses").Inc(1)
	p.log.WithFields(logrus.Fields{"wanted_ms": wanted.Milliseconds(), "pause_ms": left.Milliseconds()}).Info("target asked for a pause")
	time.AfterFunc(left+rand.N(resumeSpread), p.redial)
}

// takeWaiting removes and returns the waiting calls. The caller holds the lock.
func (p *Pool) takeWaiting() []*Call {
	calls := p.waiting
	p.waiting = nil
	for _, call := range calls {
		call.waiting = false
	}
	return calls
}

// endWithdrawn ends the calls and reports the target. The caller does not hold the
// lock.
func (p *Pool) endWithdrawn(w withdrawn, now time.Time) {
	endAll(w.calls, w.err, now)
	if w.left && p.onLeaving != nil {
		p.onLeaving(p.target)
	}
}

// leave records that another host found the target leaving, first at since.
func (p *Pool) leave(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withdrawal.Leave(since, p.drain) {
		p.log.Info("another host reports that the target is leaving")
		p.warm = 0
		p.scheduleTrim()
	}
}

// targetStart identifies one start of a target.
type targetStart struct {
	id   catalog.TargetID
	born int64
}

func startOf(t *catalog.Target) targetStart { return targetStart{id: t.ID, born: t.Born} }

// keepWithdrawal remembers what a target said whose pool is about to be closed. The
// lock is held.
func (d *Directory) keepWithdrawal(p *Pool) {
	p.mu.Lock()
	state := p.withdrawal
	p.mu.Unlock()
	if !state.IsZero() {
		d.rememberWithdrawal(startOf(p.target), state)
	}
}

// rememberWithdrawal remembers what a target without a pool said. Beyond maxWithdrawn
// it forgets an arbitrary one. The lock is held.
func (d *Directory) rememberWithdrawal(start targetStart, state withdrawal.State) {
	if len(d.withdrawn) >= maxWithdrawn {
		for other := range d.withdrawn {
			delete(d.withdrawn, other)
			break
		}
	}
	d.withdrawn[start] = state
}

// MarkLeaving records that another host found this start of a target leaving, first at
// since, from which the time counts for which it may still be used.
func (d *Directory) MarkLeaving(id catalog.TargetID, born int64, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	start := targetStart{id: id, born: born}
	if p, ok := d.pools[id]; ok && p.target.Born == born {
		p.leave(since)
		return
	}
	state := d.withdrawn[start]
	state.Leave(since, d.opts.DrainWithin)
	d.rememberWithdrawal(start, state)
}

// PauseLeft returns the least time until one of the group's allowed targets that have
// asked for a pause may be used again, 0 if none has asked for one.
func (g *Group) PauseLeft(now time.Time, allowed func(*catalog.Target) bool) time.Duration {
	least := time.Duration(0)
	for i := range len(g.Pools) + len(g.Spare) {
		p, _ := g.At(i)
		if !allowed(p.target) {
			continue
		}
		load := p.Load(now)
		left := load.PauseLeft
		if left > 0 && !load.Evacuated && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// scopeOf returns the scope of opts, or one that counts nothing.
func scopeOf(opts *Options) metrics.Scope {
	if opts.Scope == nil {
		return tally.NoopScope
	}
	return opts.Scope
}
