package targetpool

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
)

const (
	// readBufferBytes fits a typical reply with its headers.
	readBufferBytes = 4 << 10
	// deadlineSlack is how long after the caller's deadline a reply is still read.
	deadlineSlack = 150 * time.Millisecond
	// idleFraction is the fraction of a target's idle timeout after which the host
	// no longer uses a connection, so that no request is sent on one that the
	// target is closing.
	idleFraction = 0.75
)

// conn is one connection to a target.
type conn struct {
	pool   *Pool
	raw    net.Conn
	reader *bufio.Reader
	out    []byte
	// history, account and takeBytes are used by the reading goroutine only; the last two
	// are nil without a memory limit.
	history   replyHistory
	account   *bytebudget.Account
	takeBytes func(n int) bool

	// The fields up to opened are guarded by the pool's lock.
	call        *Call
	idleSince   time.Time
	idleTimeout time.Duration
	replies     int
	used        bool
	// heard is set once a byte has arrived, valid or not, givenUp once the host ends the
	// connection since the reply is no longer wanted.
	heard   bool
	givenUp bool
	opened  time.Time
	// readUntil is until when the reply is read.
	readUntil time.Time

	// writing is held while a request is written. A reply that arrives before a
	// long body is written completely must not make the connection available.
	writing sync.Mutex
	broken  bool
	once    sync.Once
}

func newConn(p *Pool, raw net.Conn) *conn {
	c := &conn{pool: p, raw: raw, opened: time.Now(), reader: bufio.NewReaderSize(raw, readBufferBytes)}
	c.initMemory()
	return c
}

// reusable reports whether the target is expected to keep the idle connection open.
// The pool's lock is held.
func (c *conn) reusable(now time.Time) bool {
	return c.idleTimeout == 0 || now.Sub(c.idleSince) < time.Duration(float64(c.idleTimeout)*idleFraction)
}

// refused reports whether the connection, if it ends at now, counts as refused by
// the target: one that the host gave up, or on which the target sent anything, does not.
// The pool's lock is held.
func (c *conn) refused(now time.Time) bool {
	if c.heard || c.givenUp {
		return false
	}
	age := now.Sub(c.opened)
	if c.used {
		return c.replies == 0 && age < usedRefusalAge
	}
	return age < unusedRefusalAge
}

// send writes the call's request. On an error it closes the connection, and the
// reading goroutine ends the call.
func (c *conn) send(call *Call) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.out = c.pool.codec.AppendRequest(c.out[:0], call.Request, string(c.pool.target.ID), time.Until(call.Deadline))
	if _, err := c.raw.Write(c.out); err != nil {
		c.broken = true
		c.close()
	}
}

// setDeadline sets the time until which the call's request is written and its reply
// read. The pool's lock is held.
func (c *conn) setDeadline(call *Call) {
	c.readUntil = call.Deadline.Add(deadlineSlack)
	if err := c.raw.SetDeadline(c.readUntil); err != nil {
		go c.close()
	}
}

// expireBy closes the connection at the given time unless the reply arrives
// before. The pool's lock is held.
func (c *conn) expireBy(at time.Time) {
	c.readUntil = at
	if err := c.raw.SetReadDeadline(at); err != nil {
		go c.close()
	}
}

// read reads replies until the connection ends. It runs on the connection's own
// goroutine.
func (c *conn) read() {
	for c.readOne() {
	}
	c.close()
}

// readOne waits for one reply and reports whether the connection can still be
// used.
func (c *conn) readOne() bool {
	if _, err := c.reader.Peek(1); err != nil {
		c.fail(err)
		return false
	}
	call := c.noteArrival(time.Now())
	if call == nil {
		c.fail(errStrayBytes)
		return false
	}
	if err := c.awaitHead(); err != nil {
		c.fail(err)
		return false
	}
	defer c.account.End()
	reply, err := c.readReply(call)
	if err != nil {
		c.fail(err)
		return false
	}
	if c.history.belongsToOther(reply, call.Request) {
		c.pool.log.WithFields(logrus.Fields{"request_id": call.Request.ID, "stray_id": reply.ID}).Warn("reply to another request was dropped")
		return true
	}
	return c.complete(call, reply)
}

// noteArrival records that bytes of the target have arrived, and returns the call in flight, if
// there is one.
func (c *conn) noteArrival(now time.Time) *Call {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.heard = true
	c.pool.noteHeard(now)
	return c.call
}

// complete ends the call with the reply and releases the connection. It returns
// false, and the caller must close the connection, if unread bytes are buffered, the
// reply names no request, writing the request has not finished or has failed, the
// target closes it, or its deadline cannot be reset.
func (c *conn) complete(call *Call, reply *exchange.Reply) bool {
	c.history.add(reply, call.Request)
	good := !reply.Closes && identifiable(reply) && c.reader.Buffered() == 0
	if good && c.writing.TryLock() {
		good = !c.broken
		c.writing.Unlock()
	} else {
		good = false
	}
	now := time.Now()
	p := c.pool
	p.mu.Lock()
	p.recordExchange(now, p.exchangeOf(call, resultOf(reply)))
	p.noteLoad(reply, p.exchangeOf(call, resultOf(reply)), now)
	c.idleTimeout = reply.IdleTimeout
	first := c.replies == 0
	c.replies++
	p.resetFailures()
	p.lastReply = now
	p.noteHeard(now)
	var lost []lostCall
	if reply.OtherTarget {
		p.moved = true
		lost = p.takeLost(now, true)
	} else {
		p.noteAlive(c.opened, now)
		p.running.extend(c.opened, now)
	}
	if reply.Success() && call.Answered != nil {
		call.Answered.Store(true)
	}
	p.unassign(c)
	if !good {
		delete(p.conns, c)
	}
	withdrawn := p.noteWithdrawal(reply, now)
	held := p.noteWarmup(reply, now)
	limited := p.noteLimit(reply, now)
	p.mu.Unlock()
	p.endWithdrawn(withdrawn, now)
	endAll(held, ErrWarming, now)
	endAll(limited, ErrLimited, now)
	p.reportCrash(lost)
	finish(call, Outcome{Reply: reply, Verdict: verdictOf(reply), FirstOnConn: first, Ended: now})
	if !good {
		return false
	}
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return false
	}
	p.release(c)
	return true
}

// exchangeOf describes the end of a call's exchange. The lock is held.
func (p *Pool) exchangeOf(call *Call, result replica.Result) replica.Exchange {
	return replica.Exchange{Sent: call.sent, Expected: call.Expected, Work: call.Work, Result: result, Queued: len(p.waiting) > 0}
}

func resultOf(reply *exchange.Reply) replica.Result {
	switch {
	case reply.NotRun, reply.OtherTarget:
		return replica.Shed
	case reply.Status >= 500 || !reply.Success() && reply.Status < 300:
		return replica.Failed
	default:
		return replica.Served
	}
}

func verdictOf(reply *exchange.Reply) verdict.Verdict {
	if reply.NotRun || reply.OtherTarget {
		return verdict.NotRun
	}
	return verdict.Ran
}

// fail closes the connection and ends the call in flight, if any, with verdict
// Unknown, because the request may have run.
func (c *conn) fail(err error) {
	now := time.Now()
	p := c.pool
	p.mu.Lock()
	call := c.call
	p.unassign(c)
	// This goroutine ends, so no further call may be sent on the connection.
	p.removeIdle(c)
	c.givenUp = errors.Is(err, os.ErrDeadlineExceeded)
	if call != nil {
		result := replica.Failed
		switch {
		case !c.givenUp:
			p.noteLost(call, now, false)
		case call.withdrawn:
			result = replica.Withdrawn
			p.noteLost(call, now, true)
		default:
			result = replica.Silent
			p.noteLost(call, now, true)
		}
		p.recordExchange(now, p.exchangeOf(call, result))
	}
	linkLost, closed, replaced := p.links.Lost(), p.closed, p.replaced
	p.mu.Unlock()
	p.noteInvalid(call, err, now)
	if linkLost {
		c.discardSent()
	}
	c.close()
	if closed {
		p.settleLost(replaced)
	}
	if call != nil {
		finish(call, Outcome{Verdict: verdict.Unknown, Err: err, Ended: now})
	}
}

// discardSent makes the connection's end a reset, so that a request that is held up on a lost
// link does not reach the target after it was given up.
func (c *conn) discardSent() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.SetLinger(0); err != nil {
		c.pool.log.WithError(err).Debug("connection to a lost target can't be reset")
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.raw.Close() //nolint:errcheck // nothing is left to do with a connection that is given up
		c.pool.remove(c)
	})
}
