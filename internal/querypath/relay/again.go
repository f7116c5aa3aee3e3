package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// again sends another attempt after one that failed, if the route, the
// service's bound on extra load and the targets allow it. Where none has reached
// a target yet, the next attempt is no extra load.
func (r *run) again(l *leg, ev event, now time.Time) bool {
	to := r.next(l, ev, now)
	if to.pool == nil {
		return false
	}
	extra := l.arrived+l.open > 0
	if extra && !l.group.TakeRetry(now) {
		l.denied++
		return false
	}
	l.sameAgain = l.sameAgain || contains(l.tried, to.pool)
	l.retries++
	r.sendTo(to, l, ev.leg, now)
	return true
}

// next returns the target of the next attempt: one that had none and can answer
// in time, or the one that just lost its answer, or any that had none.
//
// It answers targets that lose a part of their answers while the other replicas
// are slow: the same one is in time more often.
func (r *run) next(l *leg, ev event, now time.Time) choice {
	other := choice{}
	if r.mayRepeat(l) {
		other = r.executor.choose(l.group, l.tried, r.pace.usual, now)
	}
	if other.pool != nil && r.inTime(other.load, now) {
		return other
	}
	if same := r.sameAgain(l, ev, now); same.pool != nil {
		return same
	}
	return other
}

// sameAgain returns the target whose answer was lost if it may be asked once
// more, which no other attempt of the leg did.
func (r *run) sameAgain(l *leg, ev event, now time.Time) choice {
	pool := l.attempts[ev.attempt].pool
	lost := ev.outcome.Reply == nil && !ev.outcome.Sent.IsZero()
	if !lost || !r.route.Idempotent || l.sameAgain {
		return choice{}
	}
	load := pool.Load(now)
	if load.Unreachable || load.Moved || !r.inTime(load, now) {
		return choice{}
	}
	return choice{pool: pool, load: load}
}

// inTime reports whether a target is likely to answer before the objective passes.
func (r *run) inTime(load replica.Load, now time.Time) bool {
	return now.Add(replica.Estimate(load, r.pace.usual)).Before(r.times.onTime)
}

// mayRepeat reports whether one more target may get the request. What may have
// run is repeated only where the route allows it.
func (r *run) mayRepeat(l *leg) bool {
	if l.ran > 0 && !r.route.Idempotent {
		return false
	}
	return l.ran+l.open < r.route.MaxAttempts
}

func contains(pools []*targetpool.Pool, p *targetpool.Pool) bool {
	for _, q := range pools {
		if q == p {
			return true
		}
	}
	return false
}
