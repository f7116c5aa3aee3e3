package targetpool

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/decision/withdrawal"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Pool holds the connections to one target.
type Pool struct {
	target *catalog.Target
	codec  exchange.TargetCodec
	// heads checks the heads of replies; nil if the codec does not.
	heads  exchange.HeadChecker
	memory memory
	dialer Dialer
	log    logrus.FieldLogger

	mu sync.Mutex
	// Invariant: while calls wait, idle is empty, or as many connections carry calls as
	// may (usableConns), or as many bytes (memory.fits).
	idle    []*conn
	waiting []*Call
	conns   map[*conn]bool
	dialing int
	// limit is the maximum number of connections, and warm is the number of them
	// that stay open while idle.
	limit  int
	warm   int
	closed bool
	// trimScheduled is set while a check for surplus connections is scheduled.
	trimScheduled bool
	// warmFrom is when the pool begins to keep warm connections open.
	warmFrom time.Time
	// retryDial is the earliest time of the next dial after a failed one.
	retryDial time.Time
	// failures counts consecutive connections and dials without a reply.
	failures int
	// lastReply is when the last reply arrived.
	lastReply time.Time
	// connRefusedAt is when the target last reset a new connection or closed it
	// without a reply.
	connRefusedAt time.Time
	// moved is set once another process answers at the target's address.
	moved bool
	// withdrawal is whether the target is leaving or has asked for a pause.
	withdrawal withdrawal.State
	evacuation
	stats replica.Stats
	// stalls finds and predicts the target's pauses.
	stalls stallState
	// sample counts the exchanges since the last takeSample.
	sample targethealth.Sample
	// distrustedUntil is when the last report of other hosts that the target is
	// slow or failing expires.
	distrustedUntil time.Time
	// lost has the calls of which it isn't known yet whether the target ended under them.
	lost    []lostCall
	onCrash func(*Crash)
	// checking is set while a connection is tried beside the open ones.
	checking bool
	// replaced is set if the view had another start of the target when the pool was closed.
	replaced bool
	// running is when the target is known to have run without a restart.
	running span
	// heardAt is when the target last answered or accepted a connection.
	heardAt time.Time
	// onLeaving is called, without the lock, once the target reports that it leaves.
	onLeaving func(*catalog.Target)
	drain     time.Duration
	scope     metrics.Scope
	// loads and loadsInvalid count the loads that the target reported.
	loads, loadsInvalid tally.Counter
	invalid             invalidReplies
	cold                coldState
	rateLimit           rateLimit
	links               poolReach
	// coldUntil is until when the target is cold, nil for never. It is written with the lock.
	coldUntil atomic.Pointer[time.Time]
}

const (
	// connLimitBackoff is how long the host opens no more than one connection to a
	// target that reset a new one. The target is at its connection limit, which
	// also counts dead connections of other hosts.
	connLimitBackoff = 8 * time.Second
	// unusedRefusalAge is the age up to which the end of an unused connection
	// means that the target refused it; an older one was closed as idle.
	unusedRefusalAge = time.Second
	// recentReplyAge is how long after a reply the target counts as accepting
	// connections: a connection that ends in that time lost its reply and was not
	// refused.
	recentReplyAge = time.Second
	// usedRefusalAge is the age up to which the end of a connection that carries
	// its first request means a refusal; on an older one the target accepted the
	// request and the reply was lost.
	usedRefusalAge = 8 * time.Millisecond
)

// NewPool returns a pool without connections.
func NewPool(target *catalog.Target, opts *Options) *Pool {
	heads, _ := opts.Codec.(exchange.HeadChecker)
	scope := scopeOf(opts)
	return &Pool{
		loads: scope.Counter("target_loads"), loadsInvalid: scope.Counter("target_loads_invalid"), invalid: newInvalidReplies(opts),
		target: target, codec: opts.Codec, heads: heads, memory: newMemory(opts), dialer: opts.Dialer, limit: 1, onCrash: opts.OnCrash,
		onLeaving: opts.OnLeaving, drain: opts.DrainWithin, scope: scope,
		log:   opts.Log.WithFields(logrus.Fields{"target": target.ID, "service": target.Service, "addr": target.Addr}),
		conns: map[*conn]bool{}, stats: replica.Stats{Slots: target.Slots}, rateLimit: rateLimit{lines: logging.NewBudget(limitLinesPerSecond)},
	}
}

// delayWarm postpones the warm connections; calls still open connections at once.
// It must be called before the pool is used.
func (p *Pool) delayWarm(after time.Duration) {
	p.warmFrom = time.Now().Add(after)
	time.AfterFunc(after, p.redial)
}

// Target returns the pool's target.
func (p *Pool) Target() *catalog.Target { return p.target }

// Resize sets the maximum number of connections and the number of warm ones,
// which stay open while idle.
func (p *Pool) Resize(limit, warm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.warm = max(limit, 1), min(warm, limit)
	if p.withdrawal.Leaving() {
		p.warm = 0
	}
	p.keepWarm()
}

// Load returns the target's speed, health and free connections as of now.
func (p *Pool) Load(now time.Time) replica.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.stats.Load(now)
	load.Waiting = len(p.waiting)
	load.Idle = len(p.idle)
	load.Limit = p.usableConns(now)
	load.Room = load.Limit - p.busy()
	load.Unreachable = p.unreachable()
	load.Distrusted = now.Before(p.distrustedUntil)
	load.Moved = p.moved
	load.Leaving, load.Left = p.withdrawal.Leaving(), p.withdrawal.Left(now)
	load.PauseLeft = p.withdrawal.PauseLeft(now)
	load.Evacuated, load.Withheld = p.evacuated, p.withheld(now)
	load.Held, load.Limited = p.loadHeld(now)
	p.addForeseen(&load, now)
	return load
}

// unreachable reports whether there is no connection and the last attempt
// failed. The pool keeps dialing, but no call waits for it.
func (p *Pool) unreachable() bool { return len(p.conns) == 0 && p.failures > 0 }

// connLimit returns the maximum number of connections as of now.
func (p *Pool) connLimit(now time.Time) int {
	if !p.connRefusedAt.IsZero() && now.Sub(p.connRefusedAt) < connLimitBackoff {
		return 1
	}
	return p.limit
}

// busy returns the number of connections that carry a call plus the number of
// waiting calls.
func (p *Pool) busy() int { return len(p.conns) - len(p.idle) + len(p.waiting) }

// Submit sends the call, or queues it until a connection is free.
func (p *Pool) Submit(call *Call) {
	now := time.Now()
	p.mu.Lock()
	if err := p.refusal(now); err != nil {
		p.mu.Unlock()
		if errors.Is(err, ErrEvacuated) {
			p.countKept(1)
		}
		call.Done(Outcome{Verdict: verdict.NotRun, Err: err, Ended: now})
		return
	}
	if _, err := p.held(now); err != nil {
		p.countHeld(err)
		p.mu.Unlock()
		call.Done(Outcome{Verdict: verdict.NotRun, Err: err, Ended: now})
		return
	}
	if c := p.takeFreeFor(call, now); c != nil {
		p.assign(c, call, now)
		p.mu.Unlock()
		c.send(call)
		return
	}
	if p.unreachable() {
		p.mu.Unlock()
		call.Done(Outcome{Verdict: verdict.NotRun, Err: ErrUnreachable, Ended: now})
		return
	}
	call.waiting = true
	p.enqueue(call)
	p.dialForWaiting(now)
	p.mu.Unlock()
}

// refusal returns why the pool takes no call, or nil. The caller holds the lock.
func (p *Pool) refusal(now time.Time) error {
	switch {
	case p.closed, p.moved:
		return ErrClosed
	case p.evacuated:
		return ErrEvacuated
	case p.withdrawal.Left(now):
		return ErrLeaving
	case p.withdrawal.PauseLeft(now) > 0:
		return ErrPaused
	default:
		return nil
	}
}

// Cancel cancels a call. A waiting call is removed from the queue. For a call
// that was sent, the connection closes unless the reply arrives within the given
// time; closing it ends the target's work on the request. Done is not called any
// more.
func (p *Pool) Cancel(call *Call, within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call.cancelled.Store(true)
	call.withdrawn = within <= 0
	if call.waiting {
		p.removeWaiting(call)
		return
	}
	if call.conn != nil && call.conn.call == call {
		call.conn.expireBy(time.Now().Add(within))
	}
}

// SentAt returns when the call was sent, or zero if it was not.
func (p *Pool) SentAt(call *Call) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return call.sent
}

// Close closes the pool. Waiting calls end with ErrClosed, idle connections close
// at once and the others after their call.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	waiting := p.waiting
	p.waiting = nil
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
	endAll(waiting, ErrClosed, time.Now())
}

// repliedRecently reports whether a reply arrived within recentReplyAge.
func (p *Pool) repliedRecently(now time.Time) bool { return now.Sub(p.lastReply) < recentReplyAge }

// remove removes a closed connection from the pool. A connection that the target
// refused counts as a failed dial.
func (p *Pool) remove(c *conn) {
	now := time.Now()
	p.mu.Lock()
	_, known := p.conns[c]
	delete(p.conns, c)
	p.removeIdle(c)
	if known && c.refused(now) && !p.repliedRecently(now) && !p.closed {
		p.connRefusedAt = now
		p.recordFailure(now, errNoReply)
	}
	unserved := p.takeUnservable()
	var assigned []*Call
	if !p.closed {
		p.keepWarm()
		assigned = p.assignWaiting(now)
		p.dialForWaiting(now)
	}
	p.mu.Unlock()
	sendAll(assigned)
	endAll(unserved, ErrUnreachable, now)
}

// removeIdle makes a connection take no more calls, if it is idle. The caller holds the lock.
func (p *Pool) removeIdle(c *conn) {
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// finish calls Done with the outcome unless the call was cancelled.
func finish(call *Call, o Outcome) {
	o.Sent = call.sent
	if !call.cancelled.Load() {
		call.Done(o)
	}
}
