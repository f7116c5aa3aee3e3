package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// The calls of a pool that wait for a connection, by priority and then by age.
// All but endAll need the pool's lock.

func (p *Pool) enqueue(call *Call) {
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].Priority > call.Priority {
		at--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[at+1:], p.waiting[at:])
	p.waiting[at] = call
}

func (p *Pool) unqueue(call *Call) {
	call.waiting = false
	for i, w := range p.waiting {
		if w == call {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// nextWaiting takes the first waiting call that can still be in time, or else
// the first whose deadline has not passed.
func (p *Pool) nextWaiting(now time.Time) *Call {
	p.expire(now)
	if len(p.waiting) == 0 {
		return nil
	}
	for _, call := range p.waiting {
		if now.Before(call.OnTime) {
			p.unqueue(call)
			return call
		}
	}
	call := p.waiting[0]
	p.unqueue(call)
	return call
}

// expire ends the waiting calls whose deadline has passed.
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

// strand takes the waiting calls that no connection will serve soon.
func (p *Pool) strand() []*Call {
	if !p.unreachable() {
		return nil
	}
	ended := p.waiting
	p.waiting = nil
	return ended
}

func endAll(calls []*Call, err error, now time.Time) {
	for _, call := range calls {
		finish(call, Outcome{Verdict: verdict.NotRun, Err: err, Ended: now})
	}
}
