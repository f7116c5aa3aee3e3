package relay

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// retryCrashing is the Retry-After for a request that crashes targets. By then the
// affected targets have restarted.
const retryCrashing = 30 * time.Second

// Snapshots provides the newest view with the pools of its targets.
type Snapshots interface {
	Snapshot() *targetpool.Snapshot
}

// Gatherers passes sweeps on to other hosts.
type Gatherers interface {
	// Sweep returns the answer to a sweep, or nil if this host has to serve it itself.
	// again reports whether the sweep may run once more on any targets of its shards.
	Sweep(r *exchange.Request, route *catalog.Route, again func() bool, callerGone <-chan struct{}) *exchange.Answer
}

// Options configure an Executor.
type Options struct {
	Snapshots Snapshots
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Regions has the regions of the failure domains, for routes with home regions.
	Regions catalog.Regions
	// Policy is Adaptive except in comparisons with the baseline.
	Policy Policy
	// Gatherers passes sweeps on to hosts that gather them; nil if this host serves all
	// itself.
	Gatherers Gatherers
	// Helpers passes requests on while Links says that this host reaches too few targets; nil
	// if there are no other hosts. CheckSilence is called when replies are late; it must not
	// block.
	Helpers      Helpers
	Links        *targetpool.Links
	CheckSilence func(now time.Time)
	// Memory counts the replies that requests keep; nil for no limit.
	Memory *bytebudget.Budget
	// Guard identifies requests that crash targets; required.
	Guard *crashguard.Guard
	// Log and Scope get the log lines and the metrics of overload; nil for none.
	Log   logrus.FieldLogger
	Scope metrics.Scope
}

// Executor serves requests. It is safe for concurrent use.
type Executor struct {
	// unlimited is set while admission is not limited, see SetAdmissionControl.
	unlimited    atomic.Bool
	opts         Options
	statsByRoute statsByRoute
	splits       splits
	gate         *gate
	// end is the end of a stopping host's service, nil before StopBy.
	end atomic.Pointer[time.Time]
}

// NewExecutor returns an Executor.
func NewExecutor(opts Options) *Executor {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Executor{opts: opts, gate: newGate(opts.Log, opts.Scope)}
}

// Limits returns the limits in force, or false if there is no configuration yet.
func (e *Executor) Limits() (catalog.Limits, bool) {
	config := e.opts.Snapshots.Snapshot().View.Config
	if config == nil {
		return catalog.Limits{}, false
	}
	return config.Limits, true
}

// Serve returns the answer to one request. callerGone is closed when the caller
// disconnects; Serve then cancels all attempts, and nobody receives the answer.
func (e *Executor) Serve(r *exchange.Request, callerGone <-chan struct{}) *exchange.Answer {
	return e.noteServed(r, e.serve(r, callerGone))
}

// noteServed records the request if the answer is a success, and returns the answer.
func (e *Executor) noteServed(r *exchange.Request, answer *exchange.Answer) *exchange.Answer {
	if answer.Success() {
		e.opts.Guard.Served(r, time.Now())
	}
	return answer
}

func (e *Executor) serve(r *exchange.Request, callerGone <-chan struct{}) *exchange.Answer {
	snapshot := e.opts.Snapshots.Snapshot()
	config := snapshot.View.Config
	if config == nil {
		return refuse(exchange.NoConfiguration, exchange.RetryNoConfiguration)
	}
	route := config.Match(r.Host, r.URI)
	if route == nil {
		return &exchange.Answer{Status: 404, Reason: exchange.NoRoute}
	}
	if e.opts.Guard.Blocks(r, time.Now()) {
		return refuse(exchange.CrashesTargets, retryCrashing)
	}
	if e.outlasts(route, r, time.Now()) {
		return refuse(exchange.HostStopping, exchange.RetryElsewhere)
	}
	stats := e.statsByRoute.of(route)
	spent := stats.patience.spent(r.CallerTimeout, r.Arrived)
	links := &handover{executor: e, snapshot: snapshot, route: route, request: r, callerGone: callerGone}
	if !route.Sweep() {
		return links.serve(func() *exchange.Answer {
			return e.serveSingle(snapshot, route, reserve(r, spent), callerGone)
		})
	}
	if e.opts.Gatherers != nil {
		again := func() bool { return !e.opts.Guard.Suspects(r) && attemptsCoverTargets(snapshot, route) }
		pass := func(r *exchange.Request) *exchange.Answer {
			return e.opts.Gatherers.Sweep(r, route, again, callerGone)
		}
		if answer := stats.passedOverrun.serve(route, r, spent, pass); answer != nil {
			return answer
		}
	}
	return links.serve(func() *exchange.Answer {
		return stats.ownOverrun.serve(route, r, spent, func(r *exchange.Request) *exchange.Answer {
			return e.serveSweep(snapshot, route, r, callerGone)
		})
	})
}

// serveSingle serves a request from one of the services of its route.
func (e *Executor) serveSingle(snapshot *targetpool.Snapshot, route *catalog.Route, r *exchange.Request, callerGone <-chan struct{}) *exchange.Answer {
	service := e.splits.pick(route)
	one := e.newRun(snapshot, route, r, callerGone)
	return one.admitted(service, func() *exchange.Answer { return one.single(service) })
}

// serveSweep serves a sweep from all shards of its route.
func (e *Executor) serveSweep(snapshot *targetpool.Snapshot, route *catalog.Route, r *exchange.Request, callerGone <-chan struct{}) *exchange.Answer {
	own := e.newRun(snapshot, route, r, callerGone)
	return own.admitted(route.Shards[0], own.sweep)
}

// attemptsCoverTargets reports whether a request may run on all targets of each service that
// it needs, so that it stays within its attempts wherever it runs again.
func attemptsCoverTargets(snapshot *targetpool.Snapshot, route *catalog.Route) bool {
	for _, service := range servicesOf(route) {
		if g := snapshot.Group(service); g != nil && len(g.Pools)+len(g.Spare) > route.MaxAttempts {
			return false
		}
	}
	return true
}

// servicesOf returns the services that a request of the route may need.
func servicesOf(route *catalog.Route) []catalog.ServiceName {
	if route.Sweep() {
		return route.Shards
	}
	return lo.Map(route.Split, func(part catalog.WeightedService, _ int) catalog.ServiceName { return part.Service })
}

func (e *Executor) newRun(snapshot *targetpool.Snapshot, route *catalog.Route, r *exchange.Request, callerGone <-chan struct{}) *run {
	stats := e.statsByRoute.of(route)
	return &run{
		executor: e, snapshot: snapshot, route: route, request: r, callerGone: callerGone,
		routeStats: stats, expectedTimes: stats.expectedTimes(route, time.Now()), times: newSchedule(route, r),
		alone: e.suspects(r),
	}
}

// suspects reports whether a target crashed while it had the request, and counts it if so.
func (e *Executor) suspects(r *exchange.Request) bool {
	suspected := e.opts.Guard.Suspects(r)
	if suspected {
		e.opts.Scope.Counter("suspects_run").Inc(1)
	}
	return suspected
}

// candidate returns the state of a pool's target for the choice of a replica.
func (e *Executor) candidate(p *targetpool.Pool, now time.Time) replica.Candidate {
	t := p.Target()
	return replica.Candidate{
		Load:    p.Load(now),
		Warming: p.Warming(now),
		Remote:  t.FailureDomain != e.opts.FailureDomain,
	}
}

// choice is a chosen target and its load at that time.
type choice struct {
	pool *targetpool.Pool
	load replica.Load
	// otherReady is set if another candidate has an idle connection.
	otherReady bool
}

// choose returns the best target of a group that is not in tried, or a choice with
// a nil pool if there is none. Targets that are unreachable, have moved or paused are
// excluded, those outside the route's home regions, cold ones for which this host has no
// permit, and leaving ones after the first attempt. Spare targets have a higher cost, so they
// are used only while those of the host's own share are slow, failing or gone.
func (e *Executor) choose(route *catalog.Route, g *targetpool.Group, tried []*targetpool.Pool, usual time.Duration, now time.Time) choice {
	size := len(g.Pools) + len(g.Spare)
	left := make([]*targetpool.Pool, 0, size)
	candidates := make([]replica.Candidate, 0, size)
	for i := range size {
		p, spare := g.At(i)
		if contains(tried, p) || !e.opts.Regions.Allows(route, p.Target().FailureDomain) {
			continue
		}
		c := e.candidate(p, now)
		if !c.Load.Usable() || c.Load.Leaving && len(tried) > 0 {
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
