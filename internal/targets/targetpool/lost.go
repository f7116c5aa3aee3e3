package targetpool

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// lostFor is how long it is tracked what became of a target that did not answer a request.
	// A target that is back at once is noticed by its next entry in the store.
	lostFor = 6 * time.Second
	// aliveAfter is how long after the loss of a request a reply to another one has to arrive to
	// show that the target lives. An earlier one may have been sent before the target ended.
	aliveAfter = 100 * time.Millisecond
	// maxLost bounds the requests that are tracked of one target.
	maxLost = 64
)

// Crash is the end of a target while it had a request that no target of its service answered.
type Crash struct {
	Request *exchange.Request
	Target  *catalog.Target
	// Sent is when the request was sent, Lost when its reply was given up: the target ended
	// between the two.
	Sent, Lost time.Time

	answered *atomic.Bool
}

// Answered reports whether a target of the service has answered the request since.
func (c *Crash) Answered() bool { return c.answered != nil && c.answered.Load() }

// lostCall is a request that a target did not answer, and of which it isn't known yet whether the
// target ended.
type lostCall struct {
	Crash
	// wantsDial is set while it takes a connection attempt to know more.
	wantsDial bool
	// accepted is set once the target has accepted a connection since: it has not ended, or
	// runs again.
	accepted bool
}

// lostResult is what was concluded of a request that a target did not answer, as the tag of a
// counter.
type lostResult string

const (
	// lostInCrash: the target crashed while it had the request.
	lostInCrash lostResult = "crash"
	// lostAnswered: another target of the service answered the request.
	lostAnswered lostResult = "answered"
	// lostAlive: the target has answered since on a connection that was open before.
	lostAlive lostResult = "alive"
	// lostTargetBack: the target accepted the next connection, and no other start of it was
	// noticed.
	lostTargetBack lostResult = "target_back"
	// lostLongAgo: nothing was noticed in time.
	lostLongAgo lostResult = "long_ago"
	// lostPoolClosed: the target left the view and answers there.
	lostPoolClosed lostResult = "pool_closed"
)

// countLost counts requests that the target did not answer.
func (p *Pool) countLost(result lostResult, n int) {
	if n > 0 {
		p.scope.Tagged(map[string]string{"result": string(result)}).Counter("requests_lost").Inc(int64(n))
	}
}

// noteLost tracks a call whose connection ended, or that timed out, without a reply. The caller
// holds the lock.
func (p *Pool) noteLost(call *Call, now time.Time, silent bool) {
	if silent && !p.silentSince(call, now) {
		return
	}
	p.dropOldLost(now)
	if len(p.lost) >= maxLost {
		p.countLost(lostLongAgo, 1)
		p.lost = p.lost[1:]
	}
	p.lost = append(p.lost, lostCall{
		Crash:     Crash{Request: call.Request, Target: p.target, Sent: call.sent, Lost: now, answered: call.Answered},
		wantsDial: !silent || !call.withdrawn,
	})
	if silent && !call.withdrawn && len(p.conns) > 1 {
		p.scheduleCheck()
	}
}

// silentSince reports whether the target has been silent for so long, while it had the call, that
// it may have ended. A reply that has not come by the deadline is overdue whatever it usually
// takes. The caller holds the lock.
func (p *Pool) silentSince(call *Call, now time.Time) bool {
	since := call.sent
	if p.heardAt.After(since) {
		since = p.heardAt
	}
	expected := call.Expected
	if !call.withdrawn {
		expected = 0
	}
	return reach.Overdue(now.Sub(since), expected)
}

// dropOldLost drops the calls of which nothing was noticed for lostFor. The caller holds the lock.
func (p *Pool) dropOldLost(now time.Time) {
	kept := p.lost[:0]
	for _, l := range p.lost {
		switch {
		case now.Sub(l.Lost) < lostFor:
			kept = append(kept, l)
		case l.accepted:
			p.countLost(lostTargetBack, 1)
		default:
			p.countLost(lostLongAgo, 1)
		}
	}
	p.lost = kept
}

// wantsDial reports whether a connection attempt is needed to know what became of a lost call.
// The caller holds the lock.
func (p *Pool) wantsDial() bool {
	for i := range p.lost {
		if p.lost[i].wantsDial && !p.lost[i].accepted {
			return true
		}
	}
	return false
}

// noteAccepted records that the target accepted a connection. The caller holds the lock.
func (p *Pool) noteAccepted() {
	for i := range p.lost {
		p.lost[i].accepted = true
	}
}

// noteAlive drops the calls during which the target can't have ended, as it has replied now on a
// connection that was opened before they were sent. The caller holds the lock.
func (p *Pool) noteAlive(opened, now time.Time) {
	kept := p.lost[:0]
	for _, l := range p.lost {
		if opened.Before(l.Sent) && now.Sub(l.Lost) >= aliveAfter {
			p.countLost(lostAlive, 1)
			continue
		}
		kept = append(kept, l)
	}
	p.lost = kept
}

// takeLost removes and returns the calls that the target lost when it ended: all if another start
// of it was noticed, otherwise those since which it has accepted no connection. The caller holds
// the lock.
func (p *Pool) takeLost(now time.Time, startedAnew bool) []lostCall {
	p.dropOldLost(now)
	var taken, kept []lostCall
	for _, l := range p.lost {
		if startedAnew || !l.accepted {
			taken = append(taken, l)
			continue
		}
		kept = append(kept, l)
	}
	p.lost = kept
	return taken
}

// reportCrash calls onCrash for the calls that no target answered. The caller does not hold the
// lock.
func (p *Pool) reportCrash(lost []lostCall) {
	for i := range lost {
		c := &lost[i].Crash
		if c.Answered() {
			p.countLost(lostAnswered, 1)
			continue
		}
		p.countLost(lostInCrash, 1)
		if p.onCrash != nil {
			p.onCrash(c)
		}
	}
}

// scheduleCheck tries a connection beside the open ones, which may be dead without a sign. The
// caller holds the lock.
func (p *Pool) scheduleCheck() {
	if p.checking || p.closed {
		return
	}
	p.checking = true
	go p.check()
}

// check tries a connection and reports the calls that the target lost if it has ended.
func (p *Pool) check() {
	raw, err := p.dialer.Dial(p.target.Addr, dialTimeout)
	now := time.Now()
	p.mu.Lock()
	p.checking = false
	var lost []lostCall
	if err == nil {
		p.noteHeard(now)
		p.noteAccepted()
	} else {
		p.noteDial(err, now)
		lost = p.takeLost(now, false)
		p.setLost()
	}
	p.mu.Unlock()
	if err == nil {
		p.closeProbe(raw)
	}
	p.reportCrash(lost)
}

// settleLost finds out what became of the target once its pool is closed. replaced is set if
// the view has another start of it, or another target at its address.
func (p *Pool) settleLost(replaced bool) {
	p.mu.Lock()
	if p.withdrawal.Leaving() {
		p.lost = nil
	}
	if replaced {
		p.replaced = p.closed
		lost := p.takeLost(time.Now(), true)
		p.mu.Unlock()
		go p.reportCrash(lost)
		return
	}
	wanted := p.wantsDial()
	p.mu.Unlock()
	if wanted {
		go p.checkClosed()
	}
}

// checkClosed tries a connection to a target that has left the view.
func (p *Pool) checkClosed() {
	raw, err := p.dialer.Dial(p.target.Addr, dialTimeout)
	p.mu.Lock()
	lost := p.takeLost(time.Now(), false)
	p.mu.Unlock()
	if err != nil {
		p.reportCrash(lost)
		return
	}
	p.closeProbe(raw)
	p.countLost(lostPoolClosed, len(lost))
}
