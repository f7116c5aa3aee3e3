package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// retryNoConfig is when a caller may ask a host again that knows no configuration.
const retryNoConfig = 150 * time.Millisecond

// retryCrashing is when the caller of a request that crashes targets may ask
// again; by then the targets it hit are back.
const retryCrashing = 30 * time.Second

// Snapshots returns the newest view with its pools.
type Snapshots interface {
	Snapshot() *targetpool.Snapshot
}

// Options are what an Executor needs.
type Options struct {
	Snapshots Snapshots
	// FailureDomain is the host's own.
	FailureDomain string
	// Policy is Adaptive but for measurements.
	Policy Policy
	// Guard knows the requests that crash targets.
	Guard *crashguard.Guard
}

// Executor serves requests. It is safe for concurrent use.
type Executor struct {
	opts   Options
	kinds  kinds
	splits splits
}

// NewExecutor returns an executor.
func NewExecutor(opts Options) *Executor { return &Executor{opts: opts} }

// Limits returns the limits in force, or false where no configuration is known.
func (e *Executor) Limits() (catalog.Limits, bool) {
	config := e.opts.Snapshots.Snapshot().View.Config
	if config == nil {
		return catalog.Limits{}, false
	}
	return config.Limits, true
}

// Serve returns the answer to one request. gone is closed when the caller has
// left; the answer is then of no use.
func (e *Executor) Serve(r *exchange.Request, gone <-chan struct{}) *exchange.Answer {
	snapshot := e.opts.Snapshots.Snapshot()
	config := snapshot.View.Config
	if config == nil {
		return refuse(exchange.NoConfiguration, retryNoConfig)
	}
	route := config.Match(r.Host, r.URI)
	if route == nil {
		return &exchange.Answer{Status: 404, Reason: exchange.NoRoute}
	}
	if e.opts.Guard.Blocks(r, time.Now()) {
		return refuse(exchange.CrashesTargets, retryCrashing)
	}
	k := e.kinds.of(route)
	run := &run{
		executor: e, snapshot: snapshot, route: route, request: r, gone: gone,
		kind: k, pace: k.pace(route, time.Now()), times: newSchedule(route, r),
	}
	if route.Sweep() {
		return run.sweep()
	}
	return run.single(e.splits.pick(route))
}

// refuse is for requests that have not run.
func refuse(reason exchange.Reason, after time.Duration) *exchange.Answer {
	return &exchange.Answer{Status: 503, Reason: reason, RetryAfter: after}
}

// candidate describes a pool's target to the replica choice.
func (e *Executor) candidate(p *targetpool.Pool, now time.Time) replica.Candidate {
	t := p.Target()
	return replica.Candidate{
		Load:    p.Load(now),
		Warming: now.Before(t.WarmUntil),
		Remote:  t.FailureDomain != e.opts.FailureDomain,
	}
}

// choice is a target that was chosen, and what was known of it.
type choice struct {
	pool *targetpool.Pool
	load replica.Load
	// otherReady is set where another target has an idle connection.
	otherReady bool
}

// choose returns the best target of a group that is not in tried; its pool is
// nil if there is none. Targets that can't be reached or that moved are left out.
// The group's spare targets count as dearer, so that they are used while the
// host's own are slow, failing or gone.
func (e *Executor) choose(g *targetpool.Group, tried []*targetpool.Pool, usual time.Duration, now time.Time) choice {
	size := len(g.Pools) + len(g.Spare)
	left := make([]*targetpool.Pool, 0, size)
	candidates := make([]replica.Candidate, 0, size)
	for i := range size {
		p, spare := g.At(i)
		if contains(tried, p) {
			continue
		}
		c := e.candidate(p, now)
		if c.Load.Moved || c.Load.Unreachable {
			continue
		}
		c.Spare = spare
		left = append(left, p)
		candidates = append(candidates, c)
	}
	best := e.opts.Policy.pick(candidates, usual)
	if best < 0 {
		return choice{}
	}
	chosen := choice{pool: left[best], load: candidates[best].Load}
	for i := range candidates {
		chosen.otherReady = chosen.otherReady || i != best && candidates[i].Load.Idle > 0
	}
	return chosen
}
