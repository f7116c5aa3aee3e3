package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// enqueue adds a call to those that wait for a connection, which are ordered by
// priority and then by age. The caller holds the lock.
func (p *Pool) enqueue(call *Call) {
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].Priority > call.Priority {
		at--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[at+1:], p.waiting[at:])
	p.waiting[at] = call
}

// enqueueFirst returns a call to the head of those that wait. The caller holds the lock.
func (p *Pool) enqueueFirst(call *Call) {
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[1:], p.waiting)
	p.waiting[0] = call
}

// removeWaiting removes a call from those that wait. The caller holds the lock.
func (p *Pool) removeWaiting(call *Call) {
	call.waiting = false
	for i, w := range p.waiting {
		if w == call {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// nextWaiting removes and returns the first waiting call whose OnTime has not
// passed, or else the first whose deadline has not passed. It returns nil if there is
// none. The caller holds the lock.
func (p *Pool) nextWaiting(now time.Time) *Call {
	p.expire(now)
	if len(p.waiting) == 0 {
		return nil
	}
	for _, call := range p.waiting {
		if now.Before(call.OnTime) {
			p.removeWaiting(call)
			return call
		}
	}
	call := p.waiting[0]
	p.removeWaiting(call)
	return call
}

// expire ends the waiting calls whose deadline has passed. The caller holds the
// lock.
func (p *Pool) expire(now time.Time) {
	kept := p.waiting[:0]
	for _, call := range p.waiting {
		if now.Before(call.Deadline) {
			kept = append(kept, call)
			continue
		}
		call.waiting = false
		go finish(call, Outcome{Verdict: verdict.NotRun, Err: ErrExpired, Ended: now})
	}
	p.waiting = kept
}

// takeUnservable removes and returns all waiting calls if the target is
// unreachable. The caller holds the lock.
func (p *Pool) takeUnservable() []*Call {
	if !p.unreachable() {
		return nil
	}
	ended := p.waiting
	p.waiting = nil
	return ended
}

// endAll ends calls that were not sent with err. The caller does not hold the
// lock, because Done runs here.
func endAll(calls []*Call, err error, now time.Time) {
	for _, call := range calls {
		finish(call, Outcome{Verdict: verdict.NotRun, Err: err, Ended: now})
	}
}
