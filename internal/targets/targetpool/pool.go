package targetpool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Pool holds the connections to one target.
type Pool struct {
	target *catalog.Target
	codec  exchange.TargetCodec
	dialer Dialer
	log    logrus.FieldLogger

	mu sync.Mutex
	// Invariant: len(idle) is 0 or len(waiting) is 0.
	idle    []*conn
	waiting []*Call
	conns   map[*conn]bool
	dialing int
	limit   int
	warm    int
	closed  bool
	// trimming is set while a look for surplus connections is due.
	trimming bool
	// warmFrom is when the pool begins to keep connections open without a call.
	warmFrom time.Time
	// retryDial is when the next dial may start after one failed.
	retryDial time.Time
	// failures counts connections in a row that brought no reply.
	failures int
	// lastReply is when the target last answered.
	lastReply time.Time
	// crowdedAt is when the target last reset a new connection.
	crowdedAt time.Time
	// moved is set once another process was found at the target's address.
	moved bool
	stats replica.Stats
	// sample counts the exchanges since the last report to other hosts.
	sample targethealth.Sample
	// distrustedUntil is when a warning of other hosts ends.
	distrustedUntil time.Time
	// lost has the requests whose connection broke since the last dial.
	lost    []lostCall
	onCrash func(*exchange.Request, *catalog.Target)
}

// lostCall is a request that was in flight on a connection that broke.
type lostCall struct {
	request *exchange.Request
	at      time.Time
}

// crashWindow is the time between a broken connection and a failed dial within
// which the target is taken to have crashed.
const crashWindow = 1500 * time.Millisecond

const (
	// crowdedFor is how long a target that reset a new connection gets no more
	// than one from this host: it holds others' connections, dead ones included.
	crowdedFor = 8 * time.Second
	// freshConn is the age up to which the end of an unused connection means
	// that the target does not take it; later it was merely idle.
	freshConn = time.Second
	// answeredFor is how long an answer shows that the target takes connections:
	// one that ends meanwhile lost a reply.
	answeredFor = time.Second
	// refusalAge is the same for a connection that carries a request: later the
	// target took it and lost the answer.
	refusalAge = 8 * time.Millisecond
)

// NewPool returns a pool without connections.
func NewPool(target *catalog.Target, opts *Options) *Pool {
	return &Pool{
		target: target, codec: opts.Codec, dialer: opts.Dialer, limit: 1, onCrash: opts.OnCrash,
		log:   opts.Log.WithFields(logrus.Fields{"target": target.ID, "service": target.Service, "addr": target.Addr}),
		conns: map[*conn]bool{},
	}
}

// warmLater puts the connections that no call waits for off. It is called before
// the pool is used.
func (p *Pool) warmLater(after time.Duration) {
	p.warmFrom = time.Now().Add(after)
	time.AfterFunc(after, p.redial)
}

// Target returns the target that the pool is for.
func (p *Pool) Target() *catalog.Target { return p.target }

// Resize sets the most connections and how many are kept open while idle.
func (p *Pool) Resize(limit, warm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.warm = max(limit, 1), min(warm, limit)
	p.keepWarm()
}

// Load returns what is known of the target's speed and health at now.
func (p *Pool) Load(now time.Time) replica.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.stats.Load(now)
	load.Waiting = len(p.waiting)
	load.Idle = len(p.idle)
	load.Limit = p.room(now)
	load.Room = load.Limit - p.busy()
	load.Unreachable = p.unreachable()
	load.Distrusted = now.Before(p.distrustedUntil)
	load.Moved = p.moved
	return load
}

// unreachable reports whether there is no connection and the last one failed.
// Dials go on meanwhile; no call waits for them.
func (p *Pool) unreachable() bool { return len(p.conns) == 0 && p.failures > 0 }

// room is the number of connections that the host may have now.
func (p *Pool) room(now time.Time) int {
	if !p.crowdedAt.IsZero() && now.Sub(p.crowdedAt) < crowdedFor {
		return 1
	}
	return p.limit
}

// busy is the number of connections that carry a call or that have a waiting
// call to take.
func (p *Pool) busy() int { return len(p.conns) - len(p.idle) + len(p.waiting) }

// Submit sends the call, or queues it until a connection is free.
func (p *Pool) Submit(call *Call) {
	now := time.Now()
	p.mu.Lock()
	if p.closed || p.moved {
		p.mu.Unlock()
		call.Done(Outcome{Verdict: verdict.NotRun, Err: ErrClosed, Ended: now})
		return
	}
	if c := p.takeIdle(now); c != nil {
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
	if p.dialing < len(p.waiting) {
		p.dial(now)
	}
	p.mu.Unlock()
}

// Withdraw ends the caller's interest in a call. One that still waits is
// dropped; one that was sent has the given time left before its connection is
// closed, which ends the target's work on it. Done is not called any more.
func (p *Pool) Withdraw(call *Call, within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call.abandoned.Store(true)
	if call.waiting {
		p.unqueue(call)
		return
	}
	if call.conn != nil && call.conn.call == call {
		call.conn.expireBy(time.Now().Add(within))
	}
}

// SentAt is when the call was sent, zero if it was not.
func (p *Pool) SentAt(call *Call) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return call.sent
}

// Close ends the pool: idle connections at once, the others behind their call.
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

// takeIdle returns the connection that was used last among those that the
// target keeps open long enough.
func (p *Pool) takeIdle(now time.Time) *conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.fresh(now) {
			return c
		}
		delete(p.conns, c)
		go c.close()
	}
	return nil
}

// assign gives the connection to the call. The caller holds the lock and sends
// after releasing it.
func (p *Pool) assign(c *conn, call *Call, now time.Time) {
	call.waiting = false
	call.conn = c
	call.sent = now
	c.call = call
	c.used = true
	p.stats.Sent(now)
}

// free gives an open connection to the next waiting call or makes it idle.
func (p *Pool) free(c *conn) {
	now := time.Now()
	p.mu.Lock()
	c.call = nil
	if p.closed {
		delete(p.conns, c)
		p.mu.Unlock()
		c.close()
		return
	}
	call := p.nextWaiting(now)
	if call == nil {
		c.idleSince = now
		p.idle = append(p.idle, c)
		p.trimLater()
		p.mu.Unlock()
		return
	}
	p.assign(c, call, now)
	p.mu.Unlock()
	c.send(call)
}

// answered reports whether the target answered a moment ago.
func (p *Pool) answered(now time.Time) bool { return now.Sub(p.lastReply) < answeredFor }

// drop forgets a closed connection. One that never brought a reply counts as a
// failed dial.
func (p *Pool) drop(c *conn) {
	now := time.Now()
	p.mu.Lock()
	_, known := p.conns[c]
	delete(p.conns, c)
	for i, idle := range p.idle {
		if idle == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if known && c.refused(now) && !p.answered(now) && !p.closed {
		p.crowdedAt = now
		p.failed(now, errNoReply)
	}
	ended := p.strand()
	if !p.closed {
		p.keepWarm()
	}
	p.mu.Unlock()
	endAll(ended, ErrUnreachable, now)
}

// finish reports the outcome unless nobody waits for it.
func finish(call *Call, o Outcome) {
	o.Sent = call.sent
	if !call.abandoned.Load() {
		call.Done(o)
	}
}
