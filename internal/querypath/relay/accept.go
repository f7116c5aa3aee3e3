package relay

import (
	"time"

	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// Accept returns how this host serves a request of another host, which has matched it to the
// given route. The request is served by the configuration of the time of acceptance.
func (e *Executor) Accept(r *exchange.Request, passed exchange.PassedRoute) exchange.Acceptance {
	snapshot := e.opts.Snapshots.Snapshot()
	links, config := e.opts.Links, snapshot.View.Config
	if config == nil || links != nil && links.State().Cut {
		return exchange.Acceptance{}
	}
	route := agreedRoute(config, r, passed)
	if route == nil || route == passed.Terms && !hasTargets(snapshot, route) {
		return exchange.Acceptance{OtherRoute: true}
	}
	return exchange.Acceptance{Serve: func(callerGone <-chan struct{}) *exchange.Answer {
		return e.serveAccepted(snapshot, route, r, callerGone)
	}}
}

// agreedRoute returns the route by which a host with the given configuration serves a request of
// another host, nil if it doesn't. A configuration that is newer than the other host's
// supersedes the other host's route.
func agreedRoute(config *catalog.Config, r *exchange.Request, passed exchange.PassedRoute) *catalog.Route {
	own := config.Match(r.Host, r.URI)
	switch {
	case own != nil && own.Fingerprint == passed.Fingerprint:
		return own
	case passed.Fingerprint == 0 && own != nil && !own.Sweep():
		// The other host, of an earlier build, may have a route whose requests must not repeat.
		return own.Once()
	case passed.Terms != nil && passed.Version >= config.Version:
		return passed.Terms
	default:
		return nil
	}
}

// hasTargets reports whether a route has services and each of them has targets.
func hasTargets(snapshot *targetpool.Snapshot, route *catalog.Route) bool {
	services := servicesOf(route)
	return len(services) > 0 && lo.EveryBy(services, func(service catalog.ServiceName) bool {
		group := snapshot.Group(service)
		return group != nil && len(group.Pools)+len(group.Spare) > 0
	})
}

// serveAccepted returns the answer to a request of another host. callerGone is closed when that
// host withdraws it.
func (e *Executor) serveAccepted(snapshot *targetpool.Snapshot, route *catalog.Route, r *exchange.Request, callerGone <-chan struct{}) *exchange.Answer {
	if e.opts.Guard.Blocks(r, time.Now()) {
		return refuse(exchange.CrashesTargets, retryCrashing)
	}
	stats := e.statsByRoute.of(route)
	stats.patience.spent(r.CallerTimeout, r.Arrived)
	if !route.Sweep() {
		return e.noteServed(r, e.serveSingle(snapshot, route, r, callerGone))
	}
	return e.noteServed(r, e.serveSweep(snapshot, route, r, callerGone))
}
