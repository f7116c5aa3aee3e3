package relay

import "time"

// SetAdmissionControl switches the limits on admission on or off; they are on at first. In
// a small fleet each host sees the queues of all targets itself and refuses by them, and a
// limit learnt from late answers would refuse callers who can be served.
func (e *Executor) SetAdmissionControl(on bool) { e.unlimited.Store(!on) }

// ExpireLimits ends the limits of groups that no request touches any more. It is to be
// called periodically.
func (e *Executor) ExpireLimits(now time.Time) {
	for _, group := range e.gate.all() {
		e.gate.expire(group, now)
	}
}

func (g *gate) expire(group *gated, now time.Time) {
	group.mu.Lock()
	group.group.Advance(now)
	due := group.logDue(group.group.Limited(), now)
	group.mu.Unlock()
	if due {
		g.note(group, now)
	}
}
