package targetpool

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/swiftvane/swiftvane/internal/verdict"
)

const (
	// dialTimeout bounds one connection attempt. It is short, since a target
	// that answers no attempt in this time is of no use to a caller now.
	dialTimeout = 600 * time.Millisecond
	// redialFirst and redialLast bound the pause after a failed attempt.
	redialFirst = 100 * time.Millisecond
	redialLast  = 1600 * time.Millisecond
	// userTimeout ends connections whose sent bytes are not acknowledged.
	userTimeout = 3 * time.Second
)

// Dialer opens connections to targets.
type Dialer interface {
	Dial(addr string, timeout time.Duration) (net.Conn, error)
}

// TCPDialer dials with short time-outs for peers that vanish silently.
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

// dial starts a connection attempt if there is room for one more. The caller
// holds the lock.
func (p *Pool) dial(now time.Time) {
	if len(p.conns)+p.dialing >= p.limit || now.Before(p.retryDial) {
		return
	}
	p.dialing++
	go p.connect()
}

// keepWarm opens connections up to the warm number. The caller holds the lock.
func (p *Pool) keepWarm() {
	now := time.Now()
	for n := len(p.conns) + p.dialing; n < p.warm; n++ {
		p.dial(now)
	}
}

func (p *Pool) connect() {
	raw, err := p.dialer.Dial(p.target.Addr, dialTimeout)
	if err != nil {
		p.dialFailed(err)
		return
	}
	c := newConn(p, raw)
	p.mu.Lock()
	p.dialing--
	if p.failures > 0 {
		p.log.Info("target is reachable again")
	}
	p.failures = 0
	p.retryDial = time.Time{}
	p.conns[c] = true
	p.mu.Unlock()
	go c.read()
	p.free(c)
}

// dialFailed ends the calls that have no other connection to wait for, and
// starts the next attempt later if calls or the warm number ask for it.
func (p *Pool) dialFailed(err error) {
	now := time.Now()
	p.mu.Lock()
	p.dialing--
	p.failures++
	if p.failures == 1 {
		p.log.WithError(err).Warn("target lost: no connection")
	}
	wait := min(redialFirst<<min(p.failures-1, 8), redialLast)
	p.retryDial = now.Add(wait)
	var ended []*Call
	if len(p.conns) == 0 && p.dialing == 0 {
		ended = p.waiting
		p.waiting = nil
	}
	closed := p.closed
	p.mu.Unlock()
	for _, call := range ended {
		call.waiting = false
		finish(call, Outcome{Verdict: verdict.NotRun, Err: ErrUnreachable, Ended: now})
	}
	if !closed {
		time.AfterFunc(wait, p.redial)
	}
}

func (p *Pool) redial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.keepWarm()
	}
}
