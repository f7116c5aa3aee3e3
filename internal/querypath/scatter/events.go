package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
)

// onReply takes in one sub-answer.
func (r *run) onReply(rep reply, now time.Time) {
	st := &r.shards[rep.shard]
	r.attempts[rep.attempt].answered = true
	st.outstanding--
	switch r.gathered.Add(rep.shard, rep.answer) {
	case gather.Merged:
		r.groupOf[rep.shard].merged++
		r.waited = max(r.waited, rep.answer.Waited)
		r.took = max(r.took, rep.answer.Took)
		r.decide(rep.shard)
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

// decide marks the shard as merged or failed for good.
func (r *run) decide(shard int) {
	if st := &r.shards[shard]; !st.decided {
		st.decided = true
		r.groupOf[shard].open--
	}
}

// fail marks the shard as missing.
func (r *run) fail(shard int, reason verdict.Reason) {
	r.gathered.MarkMissing(shard, reason)
	r.decide(shard)
}

// cancelOthers cancels the attempts that lost against a merged one.
func (r *run) cancelOthers(shard int) {
	for i := r.shards[shard].last; i != noAttempt; i = r.attempts[i].prev {
		if a := &r.attempts[i]; !a.answered && a.cancel != nil {
			a.cancel()
		}
	}
}

// onFailure retries the shard or marks it as missing.
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
		r.fail(shard, reason)
		return
	}
	if target, ok := r.choose(shard, now); ok {
		r.retry(shard, target, reason, now)
		return
	}
	r.retryLater(shard, a, reason, now)
}

// mayRetry reports whether the failed shard may be sent again at all.
func (r *run) mayRetry(st *shardState, a *subquery.Answer, reason verdict.Reason) bool {
	if !r.req.Idempotent && a.Verdict != verdict.NotRun {
		return false
	}
	return retryable(reason) && st.attempts < maxAttempts && st.crashes < maxCrashes
}

// retry sends the shard to target if the deadline and the budget hold it.
func (r *run) retry(shard int, target model.TargetID, reason verdict.Reason, now time.Time) {
	if !r.fits(target, now) {
		r.s.counters.reasons.Counter("retries_refused", verdict.DeadlinePassed).Inc(1)
		r.fail(shard, reason)
		return
	}
	if !r.budgets.retry.Spend(r.groupOf[shard].policy.RetryBudget) {
		r.s.counters.reasons.Counter("retries_refused", verdict.RetryBudgetSpent).Inc(1)
		r.fail(shard, reason)
		return
	}
	r.s.counters.reasons.Counter("retries_sent", reason).Inc(1)
	r.sendExtra(shard, target, now)
}

// retryLater sets a time for asking a replica again that was tried before.
func (r *run) retryLater(shard int, a *subquery.Answer, reason verdict.Reason, now time.Time) {
	st := &r.shards[shard]
	target, ok := r.chooseAgain(shard, now)
	at := now.Add(max(a.RetryAfter, retryBackoff<<st.attempts))
	if !ok || st.snapshotLost || !r.fits(target, at) {
		r.fail(shard, reason)
		return
	}
	st.retryPending = true
	st.retryAt = at
	r.alarms.push(alarm{at: at, shard: shard})
}

// onAlarms hedges or retries the shards that are due.
func (r *run) onAlarms(now time.Time) {
	for len(r.alarms) > 0 && !r.alarms[0].at.After(now) {
		shard := r.alarms.pop().shard
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

// retryNow sends the retry that retryLater set.
func (r *run) retryNow(shard int, now time.Time) {
	st := &r.shards[shard]
	st.retryPending = false
	reason := r.gathered.Reason(shard)
	target, ok := r.chooseAgain(shard, now)
	if !ok {
		r.fail(shard, reason)
		return
	}
	r.retry(shard, target, reason, now)
}

// hedge sends a second attempt for a shard that is late.
func (r *run) hedge(shard int, now time.Time) {
	st := &r.shards[shard]
	target, ok := r.choose(shard, now)
	if !ok || st.attempts >= maxAttempts || !r.fits(target, now) || r.s.targets.Get(target).Avoided(now) {
		return
	}
	next := alarm{at: now.Add(r.hedgeDelay(shard, now)), shard: shard}
	if !r.budgets.hedge.Spend(r.groupOf[shard].policy.HedgeBudget) {
		if !st.hedgeDenied {
			st.hedgeDenied = true
			r.s.counters.reasons.Counter("hedges_refused", verdict.HedgeBudgetSpent).Inc(1)
		}
		r.alarms.push(next)
		return
	}
	r.s.counters.hedges.Inc(1)
	r.sendExtra(shard, target, now)
	r.alarms.push(next)
}

// hedgeDelay returns how long an attempt for the shard may run alone: by its
// service's latency, or by the workload's while the service has few samples.
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

// giveUp gives the reason for a shard that the end of the query left open.
func (r *run) giveUp(shard int, end End) {
	switch end {
	case Expired:
		r.gathered.MarkMissing(shard, verdict.DeadlinePassed)
	case Abandoned:
		r.gathered.MarkMissing(shard, verdict.Cancelled)
	case Hopeless:
		r.gathered.MarkMissing(shard, verdict.CoverageTooLow)
	case Complete, Partial:
		r.gathered.MarkMissing(shard, verdict.StragglerSkipped)
	}
}
