package relay

import (
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// retry sends another attempt after one that failed, if the route, the service's
// budget for extra load and the targets allow it, and reports whether it did. It
// takes nothing from the budget if no attempt has reached a target yet and none is
// pending.
func (r *run) retry(l *leg, ev event, now time.Time) bool {
	if r.ended {
		return false
	}
	to := r.retryTarget(l, ev, now)
	if to.pool == nil {
		return false
	}
	extra := l.arrived+l.pending > 0
	if extra && !l.group.TakeRetry(now) {
		l.denied++
		return false
	}
	l.retriedSame = l.retriedSame || contains(l.tried, to.pool)
	l.retries++
	r.sendTo(to, l, ev.leg, now)
	return true
}

// retryTarget returns the target of a retry. In order of preference, this is an
// untried target that is likely to answer in time, the target whose reply was just
// lost, or any other untried target.
//
// If a target loses some of its replies while the other replicas are slow, a retry
// at the same target is more likely to be in time.
func (r *run) retryTarget(l *leg, ev event, now time.Time) choice {
	other := choice{}
	if r.mayRepeat(l) {
		other = r.executor.choose(r.route, l.group, l.tried, r.expectedTimes.usual, now)
	}
	if other.pool != nil && r.inTime(other.load, now) {
		return other
	}
	if same := r.lastReplica(l, ev, other, now); same.pool != nil {
		return same
	}
	if same := r.retrySame(l, ev, now); same.pool != nil {
		return same
	}
	return other
}

// lastReplica returns the target again that took a call from its queue because it is
// leaving, if no other can take the call and it may still be used.
func (r *run) lastReplica(l *leg, ev event, other choice, now time.Time) choice {
	if other.pool != nil || !errors.Is(ev.outcome.Err, targetpool.ErrLeaving) || l.retriedSame {
		return choice{}
	}
	pool := l.attempts[ev.attempt].pool
	load := pool.Load(now)
	if !load.Usable() {
		return choice{}
	}
	return choice{pool: pool, load: load}
}

// retrySame returns the target whose reply was lost if it may be tried once more.
// This requires an idempotent route, a target that is likely to answer in time and
// no earlier retry of the leg at the same target.
func (r *run) retrySame(l *leg, ev event, now time.Time) choice {
	pool := l.attempts[ev.attempt].pool
	lost := ev.outcome.Reply == nil && !ev.outcome.Sent.IsZero()
	if !lost || r.alone || !r.route.Idempotent || l.retriedSame {
		return choice{}
	}
	load := pool.Load(now)
	if !load.Usable() || load.Leaving || !r.inTime(load, now) {
		return choice{}
	}
	return choice{pool: pool, load: load}
}

// inTime reports whether a target is likely to answer within the objective.
func (r *run) inTime(load replica.Load, now time.Time) bool {
	return now.Add(replica.Estimate(load, r.expectedTimes.usual)).Before(r.times.onTime)
}

// mayRepeat reports whether the request may be sent to one more target. A request
// that may have run is repeated only if the route is idempotent and the request is not suspected
// of crashing targets.
func (r *run) mayRepeat(l *leg) bool {
	if r.alone {
		return l.ran+l.pending == 0
	}
	if l.ran > 0 && !r.route.Idempotent {
		return false
	}
	return l.ran+l.pending < r.route.MaxAttempts
}

func contains(pools []*targetpool.Pool, p *targetpool.Pool) bool {
	for _, q := range pools {
		if q == p {
			return true
		}
	}
	return false
}
