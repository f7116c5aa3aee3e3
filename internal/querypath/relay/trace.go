package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// maxLegs is the maximum number of unanswered legs listed in one trace.
const maxLegs = 4

// trace returns the trace of a run without the details of its legs.
func (r *run) trace(legs []leg, now time.Time) *exchange.Trace {
	t := &exchange.Trace{
		Route: r.route.Name, Sweep: r.route.Sweep(), Objective: r.route.Objective,
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

// explain adds the first maxLegs unanswered legs to the trace.
func explain(t *exchange.Trace, legs []leg, now time.Time) {
	for i := range legs {
		if l := &legs[i]; l.reply == nil && len(t.Legs) < maxLegs {
			t.Legs = append(t.Legs, l.explain(now))
		}
	}
}

// explain describes why a leg has no reply.
func (l *leg) explain(now time.Time) exchange.Leg {
	e := exchange.Leg{Service: string(l.service), Tried: len(l.attempts), Cause: exchange.CauseNoTarget}
	if len(l.attempts) == 0 {
		if l.reachable {
			e.Cause = exchange.CauseNotSent
		}
		return e
	}
	last := l.attempts[len(l.attempts)-1]
	e.Target = string(last.pool.Target().ID)
	sent := last.pool.SentAt(last.call)
	if !sent.IsZero() {
		e.SentMS = now.Sub(sent).Milliseconds()
	}
	e.Cause = l.cause(sent)
	return e
}

// cause returns why a leg with at least one attempt has no reply. sent is when its
// last attempt was sent, or zero if it still waits for a connection.
func (l *leg) cause(sent time.Time) exchange.Cause {
	switch {
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
