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
// called Scatterer.Run touches its fields, except for mail.
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
	mail     *mailbox
	alarms   alarms
	groups   []group
	// groupOf is the group of each shard.
	groupOf    []*group
	extra      int
	retryAfter time.Duration
	// waited, took and refused are those of Outcome.
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
		mail:     newMailbox(),
		groups:   groups,
		groupOf:  groupOf,
	}
	for i := range r.shards {
		r.shards[i].last = noAttempt
	}
	return r
}

// loop runs the query to its end.
func (r *run) loop(ctx context.Context) *Outcome {
	now := time.Now()
	r.launch(now)
	wakeAt := r.nextWake(now)
	timer := time.NewTimer(wakeAt.Sub(now))
	defer timer.Stop()
	var spare []reply
	for {
		now = time.Now()
		if end, over := r.over(now); over {
			return r.finish(end)
		}
		if next := r.nextWake(now); !next.Equal(wakeAt) {
			wakeAt = next
			timer.Reset(next.Sub(now))
		}
		select {
		case <-r.mail.ready:
			batch := r.mail.take(spare)
			now = time.Now()
			for i := range batch {
				r.onReply(batch[i], now)
			}
			spare = batch
		case <-timer.C:
			wakeAt = time.Time{}
			r.onAlarms(time.Now())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return r.finish(Expired)
			}
			return r.finish(Abandoned)
		}
	}
}

// over reports whether the query is decided at time now.
func (r *run) over(now time.Time) (End, bool) {
	hopeless, open, satisfied := false, 0, true
	for i := range r.groups {
		g := &r.groups[i]
		hopeless = hopeless || g.hopeless()
		open += g.open
		satisfied = satisfied && g.satisfied(now)
	}
	switch {
	case hopeless:
		return Hopeless, true
	case open == 0:
		return Complete, true
	case !now.Before(r.req.Deadline):
		return Expired, true
	case satisfied && r.req.Idempotent && r.gathered.Merged() > 0:
		return Partial, true
	default:
		return Complete, false
	}
}

// enough reports whether the answer covers what the policies ask for, and at
// least one shard.
func (r *run) enough() bool {
	for i := range r.groups {
		if !r.groups[i].enough() {
			return false
		}
	}
	return r.gathered.Merged() > 0
}

// nextWake returns the next time at which something is due without a reply.
func (r *run) nextWake(now time.Time) time.Time {
	next := r.req.Deadline
	for i := range r.groups {
		if at := r.groups[i].stragglersAt; at.After(now) && at.Before(next) {
			next = at
		}
	}
	if len(r.alarms) > 0 && r.alarms[0].at.Before(next) {
		next = r.alarms[0].at
	}
	return next
}

// finish cancels what still runs and takes in the answers that this yields.
func (r *run) finish(end End) *Outcome {
	for i := range r.shards {
		r.giveUp(i, end)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.answered && a.cancel != nil {
			a.cancel()
		}
	}
	for _, rep := range r.mail.close() {
		if r.gathered.Add(rep.shard, rep.answer) == gather.Merged {
			r.groupOf[rep.shard].merged++
		}
	}
	r.gathered.Close()
	return &Outcome{
		End:          end,
		Gathered:     r.gathered,
		Enough:       r.enough(),
		Extra:        r.extra,
		SnapshotLost: r.snapshotLost(),
		Waited:       r.waited,
		Took:         r.took,
		Refused:      r.refused,
		RetryAfter:   r.retryAfter,
	}
}

// snapshotLost reports whether a shard is missing since no replica serves the
// pinned snapshot.
func (r *run) snapshotLost() bool {
	for i := range r.shards {
		if r.shards[i].snapshotLost && !r.gathered.IsMerged(i) {
			return true
		}
	}
	return false
}

// post is called by the dispatcher from any goroutine.
func (r *run) post(rep reply) {
	if !r.mail.post(rep) {
		r.s.discarded.Late()
	}
}

// learn takes in what an answer says about its target and service. It may be
// called from any goroutine.
func (r *run) learn(req *subquery.Request, stats *TargetStats, hist *latency.Histogram, sentAt time.Time, a *subquery.Answer) {
	now := time.Now()
	elapsed := now.Sub(sentAt)
	stats.End(a, elapsed, now)
	r.s.holdings.Observe(req.Workload, req.Target, &a.Load)
	if a.OK() {
		hist.Observe(elapsed, now)
		r.overall.Observe(elapsed, now)
	}
}
