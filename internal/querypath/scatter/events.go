package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
)

// onReply processes one sub-answer: it merges the result, handles the failure or
// drops the answer.
func (r *run) onReply(rep reply, now time.Time) {
	st := &r.shards[rep.shard]
	r.attempts[rep.attempt].answered = true
	st.outstanding--
	switch r.gathered.Add(rep.shard, rep.answer) {
	case gather.Merged:
		r.groupOf[rep.shard].merged++
		r.waited = max(r.waited, rep.answer.Waited)
		r.took = max(r.took, rep.answer.Took)
		r.markDecided(rep.shard)
		r.cancelOthers(rep.shard)
	case gather.Failed:
		st.snapshotLost = rep.answer.Reason == verdict.SnapshotUnavailable
		r.onFailure(rep.shard, rep.answer, rep.answer.Reason, now)
	case gather.WrongSnapshot:
		st.snapshotLost = true
		r.onFailure(rep.shard, rep.answer, verdict.SnapshotMismatch, now)
	case gather.Duplicate, gather.Late:
	}
}

// markDecided marks the shard as merged or finally failed.
func (r *run) markDecided(shard int) {
	if st := &r.shards[shard]; !st.decided {
		st.decided = true
		r.groupOf[shard].open--
	}
}

// markFailed marks the shard as missing for the reason.
func (r *run) markFailed(shard int, reason verdict.Reason) {
	r.gathered.MarkMissing(shard, reason)
	r.markDecided(shard)
}

// cancelOthers cancels the unanswered attempts of a shard that was merged.
func (r *run) cancelOthers(shard int) {
	for i := r.shards[shard].last; i != noAttempt; i = r.attempts[i].prev {
		if a := &r.attempts[i]; !a.answered && a.cancel != nil {
			a.cancel()
		}
	}
}

// onFailure processes a failed attempt. Unless the shard is decided or another
// attempt for it is outstanding or scheduled, it retries the shard or marks it as
// missing.
func (r *run) onFailure(shard int, a *subquery.Answer, reason verdict.Reason, now time.Time) {
	st := &r.shards[shard]
	if reason == verdict.TargetCrashed {
		st.crashes++
	}
	r.retryAfter = max(r.retryAfter, a.RetryAfter)
	r.refused = r.refused || reason == verdict.QueueFull || reason == verdict.PredictedWait || reason == verdict.TargetShed
	if st.decided || st.outstanding > 0 || st.retryPending {
		return
	}
	if !r.mayRetry(st, a, reason) {
		r.markFailed(shard, reason)
		return
	}
	if target, ok := r.chooseReplica(shard, now); ok {
		r.retry(shard, target, reason, now)
		return
	}
	r.retryLater(shard, a, reason, now)
}

// mayRetry reports whether a failed shard may be retried: a non-idempotent query
// must not have run, the reason must be retryable, and the limits on attempts
// and crashes must not be reached.
func (r *run) mayRetry(st *shardState, a *subquery.Answer, reason verdict.Reason) bool {
	if !r.req.Idempotent && a.Verdict != verdict.NotRun {
		return false
	}
	return retryable(reason) && st.attempts < maxAttempts && st.crashes < maxCrashes
}

// retry sends the shard to target if the deadline and the retry budget allow it,
// and marks the shard as missing otherwise.
func (r *run) retry(shard int, target model.TargetID, reason verdict.Reason, now time.Time) {
	if !r.fitsDeadline(target, now) {
		r.s.counters.reasons.Counter("retries_refused", verdict.DeadlinePassed).Inc(1)
		r.markFailed(shard, reason)
		return
	}
	if !r.budgets.retry.Spend(r.groupOf[shard].policy.RetryBudget) {
		r.s.counters.reasons.Counter("retries_refused", verdict.RetryBudgetSpent).Inc(1)
		r.markFailed(shard, reason)
		return
	}
	r.s.counters.reasons.Counter("retries_sent", reason).Inc(1)
	r.sendExtra(shard, target, now)
}

// retryLater schedules a retry on a replica that was tried before. It marks the
// shard as missing if there is no such replica, if the pinned snapshot is not
// served, or if the retry can't finish before the deadline.
func (r *run) retryLater(shard int, a *subquery.Answer, reason verdict.Reason, now time.Time) {
	st := &r.shards[shard]
	target, ok := r.chooseTriedReplica(shard, now)
	at := now.Add(max(a.RetryAfter, retryBackoff<<st.attempts))
	if !ok || st.snapshotLost || !r.fitsDeadline(target, at) {
		r.markFailed(shard, reason)
		return
	}
	st.retryPending = true
	st.retryAt = at
	r.timers.push(shardTimer{at: at, shard: shard})
}

// onTimers hedges or retries the shards that are due.
func (r *run) onTimers(now time.Time) {
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		shard := r.timers.pop().shard
		st := &r.shards[shard]
		switch {
		case st.decided:
		case st.retryPending:
			if !now.Before(st.retryAt) {
				r.retryNow(shard, now)
			}
		case st.outstanding > 0:
			r.hedge(shard, now)
		}
	}
}

// retryNow sends the retry that retryLater scheduled.
func (r *run) retryNow(shard int, now time.Time) {
	st := &r.shards[shard]
	st.retryPending = false
	reason := r.gathered.Reason(shard)
	target, ok := r.chooseTriedReplica(shard, now)
	if !ok {
		r.markFailed(shard, reason)
		return
	}
	r.retry(shard, target, reason, now)
}

// hedge sends one more attempt for a shard that takes longer than its hedge
// delay, if the limit on attempts, an untried replica that is not avoided, the
// deadline and the hedge budget allow it. If only the budget does not, it tries
// again after another hedge delay.
func (r *run) hedge(shard int, now time.Time) {
	st := &r.shards[shard]
	target, ok := r.chooseReplica(shard, now)
	if !ok || st.attempts >= maxAttempts || !r.fitsDeadline(target, now) || r.s.targets.Get(target).Avoided(now) {
		return
	}
	next := shardTimer{at: now.Add(r.hedgeDelay(shard, now)), shard: shard}
	if !r.budgets.hedge.Spend(r.groupOf[shard].policy.HedgeBudget) {
		if !st.hedgeDenied {
			st.hedgeDenied = true
			r.s.counters.reasons.Counter("hedges_refused", verdict.HedgeBudgetSpent).Inc(1)
		}
		r.timers.push(next)
		return
	}
	r.s.counters.hedges.Inc(1)
	r.sendExtra(shard, target, now)
	r.timers.push(next)
}

// hedgeDelay returns how long an attempt for the shard may run before it is
// hedged. It is a quantile of the service's latency, or of the workload's while
// the service has few samples, or defaultHedgeDelay while both have few.
func (r *run) hedgeDelay(shard int, now time.Time) time.Duration {
	p := r.groupOf[shard].policy
	q := max(p.HedgeQuantile, 1-p.HedgeBudget*hedgeBudgetShare)
	d, ok := r.s.latency(r.plan.Workload, r.service(shard)).Quantile(q, now)
	if !ok {
		d, ok = r.overall.Quantile(q, now)
	}
	if !ok {
		return defaultHedgeDelay
	}
	return max(d, minHedgeDelay)
}

func (r *run) service(shard int) model.ServiceName { return r.plan.Shards[shard].Service }

// recordMissing records why the shard is missing if it was still open when the
// query ended.
func (r *run) recordMissing(shard int, end End) {
	switch end {
	case Expired:
		r.gathered.MarkMissing(shard, verdict.DeadlinePassed)
	case Abandoned:
		r.gathered.MarkMissing(shard, verdict.Cancelled)
	case CoverageUnreachable:
		r.gathered.MarkMissing(shard, verdict.CoverageTooLow)
	case Complete, Partial:
		r.gathered.MarkMissing(shard, verdict.StragglerSkipped)
	}
}
