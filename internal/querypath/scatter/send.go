package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// sendFirstAttempts sends the first attempt for every shard, marks the shards
// without a usable replica as failed and adds the regular sub-requests to the
// budgets.
func (r *run) sendFirstAttempts(now time.Time) {
	r.s.targets.Ensure(r.plan.Shards)
	requests := make([]subquery.Request, len(r.shards))
	for i := range r.shards {
		target, ok := r.chooseReplica(i, now)
		if !ok {
			r.markFailed(i, verdict.NoReplica)
			continue
		}
		r.send(i, target, &requests[i], now)
		if r.req.Idempotent {
			r.timers.push(shardTimer{at: now.Add(r.hedgeDelay(i, now)), shard: i})
		}
	}
	for i := range r.groups {
		g := &r.groups[i]
		r.budgets.hedge.Earn(g.open, g.policy.HedgeBudget)
		r.budgets.retry.Earn(g.open, g.policy.RetryBudget)
	}
}

// send submits one attempt for the shard to the dispatcher. It fills in req and
// uses it as the sub-request.
func (r *run) send(shard int, target model.TargetID, req *subquery.Request, now time.Time) {
	sh := &r.plan.Shards[shard]
	st := &r.shards[shard]
	*req = subquery.Request{
		RequestID:  r.req.RequestID,
		Caller:     r.req.Caller,
		Workload:   r.plan.Workload,
		Service:    sh.Service,
		Shard:      sh.ID,
		Target:     target,
		Snapshot:   r.plan.Snapshot,
		Body:       r.req.Body,
		Idempotent: r.req.Idempotent,
		Deadline:   r.req.Deadline,
	}
	index := len(r.attempts)
	r.attempts = append(r.attempts, attempt{target: target, prev: st.last, sentAt: now})
	st.last = int32(index)
	st.attempts++
	st.outstanding++
	r.gathered.Sent(shard)
	r.s.counters.sent.Inc(1)
	stats := r.s.targets.Get(target)
	latency := r.s.latency(r.plan.Workload, sh.Service)
	stats.Begin()
	cancel := r.s.dispatcher.Submit(req, func(a *subquery.Answer) {
		r.recordAnswer(req, stats, latency, now, a)
		r.post(reply{shard: shard, attempt: index, answer: a})
	})
	r.attempts[index].cancel = cancel
}

// sendExtra sends a hedge or a retry. The caller must have spent budget for it.
func (r *run) sendExtra(shard int, target model.TargetID, now time.Time) {
	r.extra++
	r.send(shard, target, &subquery.Request{}, now)
}

// tried reports whether the shard was sent to target before.
func (r *run) tried(shard int, target model.TargetID) bool {
	for i := r.shards[shard].last; i != noAttempt; i = r.attempts[i].prev {
		if r.attempts[i].target == target {
			return true
		}
	}
	return false
}

// fitsDeadline reports whether the answer to an attempt sent to target at the
// given time is expected before the deadline.
func (r *run) fitsDeadline(target model.TargetID, at time.Time) bool {
	return at.Add(r.s.targets.Get(target).Expected()).Before(r.req.Deadline)
}
