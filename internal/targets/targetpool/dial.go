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
	// dialTimeout bounds one connection attempt. It is short, since a target
	// that answers no attempt in this time is of no use to a caller now.
	dialTimeout = 600 * time.Millisecond
	// redialFirst and redialLast bound the pause after a failed attempt.
	redialFirst = 100 * time.Millisecond
	redialLast  = 1600 * time.Millisecond
	// maxDoublings bounds the doublings of redialFirst.
	maxDoublings = 8
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
	if len(p.conns)+p.dialing >= p.room(now) || now.Before(p.retryDial) {
		return
	}
	p.dialing++
	go p.connect()
}

// keepWarm opens connections up to the warm number, and one where a request was
// lost with a connection: whether that can be opened tells if the target crashed.
// The caller holds the lock.
func (p *Pool) keepWarm() {
	if p.moved {
		return
	}
	now := time.Now()
	wanted := 0
	if !now.Before(p.warmFrom) {
		wanted = p.warm
	}
	if len(p.lost) > 0 {
		wanted = max(wanted, 1)
	}
	for n := len(p.conns) + p.dialing; n < wanted; n++ {
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
	p.lost = nil
	p.conns[c] = true
	p.mu.Unlock()
	go c.read()
	p.free(c)
}

// dialFailed ends the calls that have no other connection to wait for.
func (p *Pool) dialFailed(err error) {
	now := time.Now()
	p.mu.Lock()
	p.dialing--
	if errors.Is(err, syscall.ECONNRESET) {
		p.crowdedAt = now
	}
	p.failed(now, err)
	ended := p.strand()
	lost := p.lost
	p.lost = nil
	p.mu.Unlock()
	endAll(ended, ErrUnreachable, now)
	p.suspect(lost, now)
}

// suspect tells of the requests that the target had when it crashed.
func (p *Pool) suspect(lost []lostCall, now time.Time) {
	if p.onCrash == nil {
		return
	}
	for _, l := range lost {
		if now.Sub(l.at) < crashWindow {
			p.onCrash(l.request, p.target)
		}
	}
}

// failed notes a connection that brought nothing and puts the next dial off.
// The caller holds the lock.
func (p *Pool) failed(now time.Time, err error) {
	p.failures++
	if p.failures == 1 {
		p.log.WithError(err).Warn("target lost: no connection")
	}
	wait := min(redialFirst<<min(p.failures-1, maxDoublings), redialLast)
	wait = wait/2 + rand.N(wait/2)
	p.retryDial = now.Add(wait)
	if !p.closed {
		time.AfterFunc(wait, p.redial)
	}
}

// regained notes a reply. The caller holds the lock.
func (p *Pool) regained() {
	if p.failures > 0 {
		p.log.WithField("failures", p.failures).Info("target regained")
	}
	p.failures = 0
	p.retryDial = time.Time{}
}

func (p *Pool) redial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.keepWarm()
	}
}
