package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// maxLegs is the maximum number of legs listed in one trace.
const maxLegs = 4

// trace returns the trace of a run without the details of its legs.
func (r *run) trace(legs []leg, now time.Time) *exchange.Trace {
	t := &exchange.Trace{
		Route: r.route.Name, Sweep: r.route.Sweep(), Objective: r.route.Objective, Priority: r.route.Priority,
		ConfigVersion: r.snapshot.View.Config.Version, Position: r.snapshot.View.Position,
		Shards: len(legs), Late: now.After(r.request.Arrived.Add(r.route.Objective)),
	}
	for i := range legs {
		l := &legs[i]
		t.Hedges += l.hedges
		t.Retries += l.retries
		t.Denied += l.denied
		if l.reply != nil {
			t.Parts++
		}
	}
	return t
}

// explain adds up to maxLegs legs to the trace: first those that a refused sweep was
// not sent for, then other unanswered ones, then those that answered after the
// objective.
func (r *run) explain(t *exchange.Trace, legs []leg, now time.Time) {
	for _, decisive := range []func(*leg) bool{
		func(l *leg) bool { return l.reply == nil && l.queue > 0 },
		func(l *leg) bool { return l.reply == nil && l.queue == 0 },
		func(l *leg) bool { return l.reply != nil && l.replied.After(r.times.onTime) },
	} {
		for i := range legs {
			if l := &legs[i]; decisive(l) && len(t.Legs) < maxLegs {
				t.Legs = append(t.Legs, r.explainLeg(l, now))
			}
		}
	}
}

// explainLeg describes why a leg has no reply, or that it came late.
func (r *run) explainLeg(l *leg, now time.Time) exchange.Leg {
	e := exchange.Leg{Service: string(l.service), Tried: len(l.attempts)}
	if len(l.attempts) == 0 {
		e.Cause, e.EstimateMS = r.causeNotSent(l, now), l.queue.Milliseconds()
		return e
	}
	last := l.attempts[l.lastAttempt()]
	e.Target = string(last.pool.Target().ID)
	sent := last.pool.SentAt(last.call)
	if !sent.IsZero() {
		e.SentMS = now.Sub(sent).Milliseconds()
	}
	e.Cause = l.cause(sent)
	return e
}

// lastAttempt returns the index of the attempt that was answered or, without an answer,
// of the last one.
func (l *leg) lastAttempt() int {
	if l.reply != nil {
		return l.answered
	}
	return len(l.attempts) - 1
}

// causeNotSent returns why a leg has no attempt.
func (r *run) causeNotSent(l *leg, now time.Time) exchange.Cause {
	switch {
	case l.queue > 0:
		return exchange.CauseQueue
	case l.reachable:
		return exchange.CauseNotSent
	case l.group != nil && l.group.HasEvacuated(r.allows):
		return exchange.CauseEvacuated
	case l.group != nil:
		return causeOf(l.group.NextPermit(now, r.allows))
	default:
		return exchange.CauseNoTarget
	}
}

// causeOf returns why a leg has no attempt whose next permit is the given one.
func causeOf(next targetpool.Permit) exchange.Cause {
	switch {
	case next.Left <= 0:
		return exchange.CauseNoTarget
	case next.Limited:
		return exchange.CauseLimited
	default:
		return exchange.CauseWarming
	}
}

// cause returns why a leg with at least one attempt has no reply or a late one. sent is
// when its last attempt was sent, or zero if it still waits for a connection.
func (l *leg) cause(sent time.Time) exchange.Cause {
	switch {
	case l.reply != nil:
		return exchange.CauseLateReply
	case l.pending == 0 && l.ran > 0:
		return exchange.CauseFailed
	case l.pending == 0 && l.unreached:
		return exchange.CauseNoTarget
	case l.pending == 0:
		return exchange.CauseShed
	case sent.IsZero():
		return exchange.CauseNoConnection
	case l.denied > 0:
		return exchange.CauseBudget
	case l.pending > 1:
		return exchange.CauseSlowTwice
	default:
		return exchange.CauseSlow
	}
}

// recordUnreached records whether the last attempt that ended reached its target.
func (l *leg) recordUnreached(o targetpool.Outcome) {
	l.unreached = o.Reply == nil && o.Sent.IsZero()
}
