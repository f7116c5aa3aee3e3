package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// queuedShare is the share of the objective from which on the time that a call waited
	// for a connection counts as lost to queueing.
	queuedShare = 0.2
	// waitFactor is the multiple of a target's best recent time from which on a late reply
	// had to wait at the target, and limitedWaitFactor that while the group is limited, when
	// the queue is known.
	waitFactor        = 2.0
	limitedWaitFactor = 1.3
	// limitedDeadline is the deadline of requests to a limited group, as a factor of the
	// objective: later answers would take slots from requests that can be in time.
	limitedDeadline = 1.5
)

// admitted serves the request if the gate admits it and otherwise refuses it.
func (r *run) admitted(group catalog.ServiceName, serve func() *exchange.Answer) *exchange.Answer {
	if r.executor.unlimited.Load() {
		return serve()
	}
	now := time.Now()
	asked := overload.Request{
		Rank: r.route.Priority, Work: r.expectedTimes.work, Objective: r.route.Objective, Left: r.left(now),
	}
	admission, after := r.executor.gate.admit(group, asked, now)
	if admission == nil {
		answer := refuse(exchange.NoRoom, after)
		answer.Trace = r.trace(nil, now)
		return answer
	}
	if admission.limited {
		r.limited = true
		r.times = r.times.limited(r.route, r.request)
	}
	answer := serve()
	admission.ended(time.Now(), r.result)
	return answer
}

// left returns how long the caller still waits, 0 if it doesn't state it.
func (r *run) left(now time.Time) time.Duration {
	if r.request.CallerTimeout <= 0 {
		return 0
	}
	return max(r.request.CallerTimeout-now.Sub(r.request.Arrived), time.Millisecond)
}

// limited returns the time limits of a request to a limited group. One that must not be
// repeated keeps its deadline, as its caller couldn't send it again.
func (s schedule) limited(route *catalog.Route, r *exchange.Request) schedule {
	latest := r.Arrived.Add(time.Duration(limitedDeadline * float64(route.Objective)))
	if route.Idempotent && latest.Before(s.deadline) {
		s.deadline = latest
		s.final = latest.Add(-finalMargin)
	}
	return s
}

// resultOf returns how a request ended with respect to overload. missing is the number of
// its legs that may remain unanswered.
func (r *run) resultOf(answer *exchange.Answer, legs []leg, missing int, now time.Time) overload.Result {
	late := now.After(r.request.Arrived.Add(r.route.Objective - r.request.Reserved))
	if answer.Reason == exchange.CallerLeft {
		return overload.Excused
	}
	if !late && answer.Status < 500 {
		return overload.InTime
	}
	queued, lateElse := r.countQueued(legs, now)
	if queued == 0 || lateElse > missing {
		return overload.Excused
	}
	return overload.Overdue
}

// countQueued returns the number of legs that lost time to queueing, and of those that are
// late for another reason.
func (r *run) countQueued(legs []leg, now time.Time) (queued, lateElse int) {
	for i := range legs {
		l := &legs[i]
		switch {
		case r.queued(l, now):
			queued++
		case len(l.attempts) == 0 && l.reachable:
			// Not sent, since the request was refused for other legs.
		case l.reply == nil || l.replied.After(r.times.onTime):
			lateElse++
		}
	}
	return queued, lateElse
}

// queued reports whether a leg lost time to queueing: its call waited long for a
// connection or, since its target takes less at best, at the target, a target shed it, or
// it wasn't sent because of the queue. While the group is limited, one at a crowded target
// counts, too; before, calls must also wait for that target in this host, since slow targets
// alone must not lead to a limit.
func (r *run) queued(l *leg, now time.Time) bool {
	long := time.Duration(queuedShare * float64(r.route.Objective))
	switch {
	case l.shed || l.waited >= long:
		return true
	case len(l.attempts) == 0:
		return l.queue > 0
	}
	last := &l.attempts[l.lastAttempt()]
	c := last.pool.Crowding(now, r.expectedTimes.usual, r.expectedTimes.work)
	if l.reply == nil && c.Queued && last.pool.SentAt(last.call).IsZero() && now.Sub(last.begun) >= long {
		return true
	}
	return c.Crowded && (r.limited || c.Queued) || r.waitedAtTarget(l, last, c.OwnTime)
}

// waitedAtTarget reports whether a late reply would have been in time if its target had
// taken as long as it recently did at best.
func (r *run) waitedAtTarget(l *leg, a *attempt, own time.Duration) bool {
	if l.reply == nil || !l.replied.After(r.times.onTime) || own <= 0 {
		return false
	}
	factor := waitFactor
	if r.limited {
		factor = limitedWaitFactor
	}
	sent := a.pool.SentAt(a.call)
	return l.replied.Sub(sent) > time.Duration(factor*float64(own)) && sent.Add(own).Before(r.times.onTime)
}

// recordQueueing records whether an attempt was shed or waited for a connection in use.
func (l *leg) recordQueueing(begun time.Time, o targetpool.Outcome) {
	if reply := o.Reply; reply != nil {
		l.shed = l.shed || reply.NotRun && reply.Pause == 0 && !reply.Leaving && !reply.OtherTarget
	}
	if !o.Sent.IsZero() && !o.FirstOnConn {
		l.waited = max(l.waited, o.Sent.Sub(begun))
	}
}

// cancelPending cancels the pending attempts of a leg. Those that were already sent may
// continue for the given time, but not at crowded targets of a limited group, where they
// would take slots from requests that still need them.
func (r *run) cancelPending(l *leg, within time.Duration) {
	if !r.limited {
		l.cancelPending(within)
		return
	}
	if l.pending == 0 {
		return
	}
	now := time.Now()
	for _, a := range l.attempts {
		grace := within
		if a.pool.Crowding(now, r.expectedTimes.usual, r.expectedTimes.work).Crowded {
			grace = 0
		}
		a.pool.Cancel(a.call, grace)
	}
}

// dropWaiting gives up calls of a limited group that still wait for a connection after the
// objective, as far as enough shards can answer without them.
func (s *sweep) dropWaiting() {
	if !s.limited || s.alone {
		return
	}
	for i := range s.legs {
		if len(s.legs)-(s.settled-s.parts) <= s.minShards {
			return
		}
		l := &s.legs[i]
		if l.settled || !l.allWaiting() {
			continue
		}
		l.cancelPending(abandonGrace)
		s.settle(i)
	}
}

// allWaiting reports whether a leg has attempts that wait for a connection and no other
// pending ones.
func (l *leg) allWaiting() bool {
	waiting := 0
	for _, a := range l.attempts {
		if a.pool.SentAt(a.call).IsZero() {
			waiting++
		}
	}
	return l.pending > 0 && waiting >= l.pending
}
