package scatter

import (
	"context"
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
	"github.com/swiftvane/swiftvane/internal/support/latency"
)

// run is the event loop of one query under one plan. Only the goroutine that
// called Scatterer.Run changes its fields, except for replies.
type run struct {
	s        *Scatterer
	req      *Request
	plan     *plan.Plan
	gathered *gather.Gatherer
	budgets  *budgets
	// overall is the latency of all services of the workload.
	overall  *latency.Histogram
	shards   []shardState
	attempts []attempt
	replies  *mailbox
	timers   timerHeap
	groups   []group
	// groupOf is the group of each shard.
	groupOf    []*group
	extra      int
	retryAfter time.Duration
	// waited, took and refused become the fields of Outcome with these names.
	waited, took time.Duration
	refused      bool
}

func newRun(s *Scatterer, req *Request, now time.Time) *run {
	n := len(req.Plan.Shards)
	groups, groupOf := newGroups(req.Plan, now)
	r := &run{
		s:        s,
		req:      req,
		plan:     req.Plan,
		gathered: gather.New(req.Plan.Snapshot, req.Plan.Shards, s.discarded),
		budgets:  s.budgetsOf(req.Plan.Workload),
		overall:  s.latency(req.Plan.Workload, ""),
		shards:   make([]shardState, n),
		attempts: make([]attempt, 0, n+n/8+1),
		replies:  newMailbox(),
		groups:   groups,
		groupOf:  groupOf,
	}
	for i := range r.shards {
		r.shards[i].last = noAttempt
	}
	return r
}

// loop sends the first attempts and processes replies and timers until the query
// ends.
func (r *run) loop(ctx context.Context) *Outcome {
	now := time.Now()
	r.sendFirstAttempts(now)
	wakeAt := r.nextWake(now)
	timer := time.NewTimer(wakeAt.Sub(now))
	defer timer.Stop()
	var spare []reply
	for {
		now = time.Now()
		if end, ended := r.checkEnd(now); ended {
			return r.finish(end)
		}
		if next := r.nextWake(now); !next.Equal(wakeAt) {
			wakeAt = next
			timer.Reset(next.Sub(now))
		}
		select {
		case <-r.replies.ready:
			batch := r.replies.take(spare)
			now = time.Now()
			for i := range batch {
				r.onReply(batch[i], now)
			}
			spare = batch
		case <-timer.C:
			wakeAt = time.Time{}
			r.onTimers(time.Now())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return r.finish(Expired)
			}
			return r.finish(Abandoned)
		}
	}
}

// checkEnd reports whether the query ends at time now, and why.
func (r *run) checkEnd(now time.Time) (End, bool) {
	unreachable, open, mayEnd := false, 0, true
	for i := range r.groups {
		g := &r.groups[i]
		unreachable = unreachable || g.coverageUnreachable()
		open += g.open
		mayEnd = mayEnd && g.mayEnd(now)
	}
	switch {
	case unreachable:
		return CoverageUnreachable, true
	case open == 0:
		return Complete, true
	case !now.Before(r.req.Deadline):
		return Expired, true
	case mayEnd && r.req.Idempotent && r.gathered.Merged() > 0:
		return Partial, true
	default:
		return Complete, false
	}
}

// coverageMet reports whether the merged shards meet the coverage of every policy
// and there is at least one.
func (r *run) coverageMet() bool {
	for i := range r.groups {
		if !r.groups[i].coverageMet() {
			return false
		}
	}
	return r.gathered.Merged() > 0
}

// nextWake returns the next time at which the loop must run even without a reply.
func (r *run) nextWake(now time.Time) time.Time {
	next := r.req.Deadline
	for i := range r.groups {
		if at := r.groups[i].stragglersAt; at.After(now) && at.Before(next) {
			next = at
		}
	}
	if len(r.timers) > 0 && r.timers[0].at.Before(next) {
		next = r.timers[0].at
	}
	return next
}

// finish cancels the outstanding attempts, merges the answers that are still
// queued, including those of the cancelled attempts, and returns the outcome.
func (r *run) finish(end End) *Outcome {
	for i := range r.shards {
		r.recordMissing(i, end)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.answered && a.cancel != nil {
			a.cancel()
		}
	}
	for _, rep := range r.replies.close() {
		if r.gathered.Add(rep.shard, rep.answer) == gather.Merged {
			r.groupOf[rep.shard].merged++
		}
	}
	r.gathered.Close()
	return &Outcome{
		End:          end,
		Gathered:     r.gathered,
		CoverageMet:  r.coverageMet(),
		Extra:        r.extra,
		SnapshotLost: r.snapshotLost(),
		Waited:       r.waited,
		Took:         r.took,
		Refused:      r.refused,
		RetryAfter:   r.retryAfter,
	}
}

// snapshotLost reports whether a shard is missing whose last failure was that the
// replica does not serve the pinned snapshot.
func (r *run) snapshotLost() bool {
	for i := range r.shards {
		if r.shards[i].snapshotLost && !r.gathered.IsMerged(i) {
			return true
		}
	}
	return false
}

// post queues a reply for the loop, or counts it as late after the end of the
// run. It may be called from any goroutine.
func (r *run) post(rep reply) {
	if !r.replies.post(rep) {
		r.s.discarded.Late()
	}
}

// recordAnswer updates the statistics of the target and the service from an
// answer. It may be called from any goroutine.
func (r *run) recordAnswer(req *subquery.Request, stats *TargetStats, hist *latency.Histogram, sentAt time.Time, a *subquery.Answer) {
	now := time.Now()
	elapsed := now.Sub(sentAt)
	stats.End(a, elapsed, now)
	r.s.holdings.Observe(req.Workload, req.Target, &a.Load)
	if a.OK() {
		hist.Observe(elapsed, now)
		r.overall.Observe(elapsed, now)
	}
}
