package scatter

import (
	"context"
	"math"
	"time"

	"github.com/swiftvane/swiftvane/internal/gather"
	"github.com/swiftvane/swiftvane/internal/plan"
	"github.com/swiftvane/swiftvane/internal/subquery"
)

// run is the event loop of one query under one plan. Only the goroutine that
// called Scatterer.Run touches its fields, except for mail.
type run struct {
	s        *Scatterer
	req      *Request
	plan     *plan.Plan
	gathered *gather.Gatherer
	budgets  *budgets
	shards   []shardState
	attempts []attempt
	mail     *mailbox
	alarms   alarms
	// open counts the shards not decided yet.
	open   int
	needed int
	extra  int
	// stragglersAt is when a partial answer becomes acceptable.
	stragglersAt time.Time
	retryAfter   time.Duration
}

func newRun(s *Scatterer, req *Request) *run {
	n := len(req.Plan.Shards)
	r := &run{
		s:        s,
		req:      req,
		plan:     req.Plan,
		gathered: gather.New(req.Plan.Snapshot, req.Plan.Shards, s.discarded),
		budgets:  s.budgetsOf(req.Plan.Workload),
		shards:   make([]shardState, n),
		attempts: make([]attempt, 0, n+n/8+1),
		mail:     newMailbox(),
		open:     n,
		needed:   max(1, int(math.Ceil(req.Plan.Policy.MinCoverage*float64(n)-coverageSlack))),
	}
	for i := range r.shards {
		r.shards[i].last = noAttempt
	}
	return r
}

// loop runs the query to its end.
func (r *run) loop(ctx context.Context) *Outcome {
	now := time.Now()
	r.stragglersAt = now.Add(time.Duration(r.plan.Policy.StragglerWaitMS) * time.Millisecond)
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
			return r.finish(Abandoned)
		}
	}
}

// over reports whether the query is decided at time now.
func (r *run) over(now time.Time) (End, bool) {
	merged := r.gathered.Merged()
	switch {
	case merged+r.open < r.needed:
		return Hopeless, true
	case r.open == 0:
		return Complete, true
	case !now.Before(r.req.Deadline):
		return Expired, true
	case r.req.Idempotent && merged >= r.needed && !now.Before(r.stragglersAt):
		return Partial, true
	default:
		return Complete, false
	}
}

// nextWake returns the next time at which something is due without a reply.
func (r *run) nextWake(now time.Time) time.Time {
	next := r.req.Deadline
	if r.stragglersAt.After(now) && r.stragglersAt.Before(next) {
		next = r.stragglersAt
	}
	if len(r.alarms) > 0 && r.alarms[0].at.Before(next) {
		next = r.alarms[0].at
	}
	return next
}

// finish cancels what still runs and takes in the answers that this yields.
func (r *run) finish(end End) *Outcome {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.answered && a.cancel != nil {
			a.cancel()
		}
	}
	for _, rep := range r.mail.close() {
		r.attempts[rep.attempt].answered = true
		r.gathered.Add(rep.shard, rep.answer)
	}
	lost := false
	for i := range r.shards {
		lost = lost || (r.shards[i].snapshotLost && !r.gathered.IsMerged(i))
		r.giveUp(i, end)
	}
	r.gathered.Close()
	return &Outcome{
		End:          end,
		Gathered:     r.gathered,
		Enough:       r.gathered.Merged() >= r.needed,
		Extra:        r.extra,
		SnapshotLost: lost,
		RetryAfter:   r.retryAfter,
	}
}

// post is called by the dispatcher from any goroutine.
func (r *run) post(rep reply) {
	if !r.mail.post(rep) {
		r.s.discarded.Late()
	}
}

// learn takes in what an answer says about its target and service. It may be
// called from any goroutine.
func (r *run) learn(req *subquery.Request, stats *TargetStats, latency *Latency, sentAt time.Time, a *subquery.Answer) {
	now := time.Now()
	elapsed := now.Sub(sentAt)
	stats.End(a, elapsed, now)
	r.s.holdings.Observe(req.Workload, req.Target, &a.Load)
	if a.OK() {
		latency.Observe(elapsed, now)
	}
}
