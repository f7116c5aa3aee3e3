package relay

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/logging"
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
	// suspectLines bounds the log lines of requests that run on one target alone.
	suspectLines *logging.Budget
	// end is the end of a stopping host's service, nil before StopBy.
	end atomic.Pointer[time.Time]
}

// NewExecutor returns an Executor.
func NewExecutor(opts Options) *Executor {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Log == nil {
		opts.Log = discardLog()
	}
	return &Executor{opts: opts, gate: newGate(opts.Log, opts.Scope), suspectLines: logging.NewBudget(suspectLinesPerSecond)}
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
