package targetpool

import (
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds one connection attempt. It is short, because a target
	// that accepts no connection in this time is of no use to a waiting caller.
	dialTimeout = 600 * time.Millisecond
	// redialFirst and redialLast bound the backoff after a failed attempt, before
	// jitter.
	redialFirst = 100 * time.Millisecond
	redialLast  = 1600 * time.Millisecond
	// maxDoublings bounds the exponent of the backoff.
	maxDoublings = 8
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeout = 3 * time.Second
)

// Dialer opens connections to targets.
type Dialer interface {
	Dial(addr string, timeout time.Duration) (net.Conn, error)
}

// TCPDialer opens TCP connections with short keep-alive and user timeouts, so that
// a target that disappears without closing them is detected early.
type TCPDialer struct{}

// Dial implements Dialer.
func (TCPDialer) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return d.Dial("tcp", addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// dial starts a connection attempt unless the pool is at its limit or backs off
// after a failure. The caller holds the lock.
func (p *Pool) dial(now time.Time) {
	if len(p.conns)+p.dialing >= p.connLimit(now) || now.Before(p.retryDial) {
		return
	}
	p.dialing++
	go p.connect()
}

// keepWarm opens connections up to the warm number. After a request was lost with
// its connection it opens at least one: if that fails, the target counts as
// crashed. The caller holds the lock.
func (p *Pool) keepWarm() {
	now := time.Now()
	if p.refusal(now) != nil {
		return
	}
	wanted := 0
	if !now.Before(p.warmFrom) {
		wanted = p.warm
	}
	if p.wantsDial() {
		wanted = max(wanted, 1)
	}
	for n := len(p.conns) + p.dialing; n < wanted; n++ {
		p.dial(now)
	}
}

// connect opens one connection and adds it to the pool.
func (p *Pool) connect() {
	raw, err := p.dialer.Dial(p.target.Addr, dialTimeout)
	if err != nil {
		p.dialFailed(err)
		return
	}
	c := newConn(p, raw)
	p.mu.Lock()
	p.noteDial(nil, c.opened)
	p.dialing--
	p.noteAccepted()
	p.conns[c] = true
	p.noteHeard(c.opened)
	p.mu.Unlock()
	go c.read()
	p.release(c)
}

// dialFailed records a failed attempt, ends the waiting calls if no connection is
// left and reports the requests that a crash of the target may have lost.
func (p *Pool) dialFailed(err error) {
	now := time.Now()
	p.mu.Lock()
	p.dialing--
	if errors.Is(err, syscall.ECONNRESET) {
		p.connRefusedAt = now
	}
	p.recordFailure(now, err)
	p.noteDial(err, now)
	unserved := p.takeUnservable()
	lost := p.takeLost(now, false)
	p.mu.Unlock()
	endAll(unserved, ErrUnreachable, now)
	p.reportCrash(lost)
}

// recordFailure counts a failed dial or refused connection and schedules the next
// dial with exponential backoff and jitter. A closed pool dials no more. The caller holds
// the lock.
func (p *Pool) recordFailure(now time.Time, err error) {
	if p.closed {
		return
	}
	p.failures++
	p.noteUnreachable()
	if p.failures == 1 {
		p.log.WithError(err).Warn("target lost: no connection")
	}
	wait := min(redialFirst<<min(p.failures-1, maxDoublings), redialLast)
	wait = wait/2 + rand.N(wait/2)
	p.retryDial = now.Add(wait)
	time.AfterFunc(wait, p.redial)
}

// resetFailures ends the backoff after a reply. The caller holds the lock.
func (p *Pool) resetFailures() {
	if p.failures > 0 {
		p.log.WithField("failures", p.failures).Info("target regained")
	}
	p.failures = 0
	p.retryDial = time.Time{}
}

// redial opens the connections that are missing unless the pool is closed.
func (p *Pool) redial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.keepWarm()
	}
}
