package relay

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/latency"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// usualQuantile is the quantile of the response times that is the usual time.
	usualQuantile = 0.5
	// stragglerQuantile is the quantile of the response times after which a
	// sub-request counts as late.
	stragglerQuantile = 0.93
	// workQuantile is the quantile of the response times of sub-requests that wait for
	// nothing. A rise of it is taken over by workRise for each expectedTimesTTL.
	workQuantile = 0.1
	workRise     = 0.002
	// defaultUsualShare is the usual time before there are enough samples, as a share
	// of the objective.
	defaultUsualShare = 0.12
	// defaultLateFactor is the straggler time and the time with a new connection
	// before there are enough samples, as a factor of the usual time.
	defaultLateFactor = 2.5
	// expectedTimesTTL is how long computed times are reused.
	expectedTimesTTL = 200 * time.Millisecond
	// maxRoutes is the maximum number of routes with statistics. Beyond it, the
	// statistics of all routes are dropped.
	maxRoutes = 4096
)

// expectedTimes holds the expected response times of a route's sub-requests.
type expectedTimes struct {
	// usual is the median.
	usual time.Duration
	// straggler is the time after which a sub-request counts as late.
	straggler time.Duration
	// connecting is the median for sub-requests that need a new connection.
	connecting time.Duration
	// work is the time of those that wait for nothing, 0 if it is unknown.
	work time.Duration
}

// routeStats holds the latency statistics of one route's sub-requests.
type routeStats struct {
	// times holds the response times from sending to the reply.
	times latency.Histogram
	// connecting holds the times from submission of the first sub-request on each
	// connection. They include opening it unless it was opened in advance.
	connecting latency.Histogram

	patience patience
	// ownOverrun and passedOverrun are the overruns of sweeps that this host gathers and
	// of those that it passes on.
	ownOverrun    overrun
	passedOverrun overrun

	mu sync.Mutex
	// cached is reused until expires.
	cached  expectedTimes
	expires time.Time
	// work is the least recent value of workQuantile, which rises slowly.
	work time.Duration
}

func newRouteStats() *routeStats {
	return &routeStats{
		ownOverrun:    overrun{allowance: ownOverrunFirst},
		passedOverrun: overrun{allowance: passedOverrunFirst},
	}
}

// observe records the response time of a successful attempt that was submitted to
// the target's pool at begun.
func (k *routeStats) observe(begun time.Time, o targetpool.Outcome) {
	k.times.Observe(o.Ended.Sub(o.Sent), o.Ended)
	if o.FirstOnConn {
		k.connecting.Observe(o.Ended.Sub(begun), o.Ended)
	}
}

// expectedTimes returns the expected response times at now.
func (k *routeStats) expectedTimes(route *catalog.Route, now time.Time) expectedTimes {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.expires) {
		return k.cached
	}
	k.expires = now.Add(expectedTimesTTL)
	k.cached = k.measure(route, now)
	k.cached.work = k.measureWork(now)
	return k.cached
}

// measureWork returns the time of sub-requests that wait for nothing. Under overload all
// quantiles rise, so a higher value is taken over slowly.
func (k *routeStats) measureWork(now time.Time) time.Duration {
	low, ok := k.times.Quantile(workQuantile, now)
	switch {
	case !ok:
	case k.work == 0 || low < k.work:
		k.work = low
	default:
		k.work += time.Duration(workRise * float64(low-k.work))
	}
	return k.work
}

// measure computes the expected response times, with defaults while there are too
// few samples.
func (k *routeStats) measure(route *catalog.Route, now time.Time) expectedTimes {
	p := expectedTimes{usual: time.Duration(defaultUsualShare * float64(route.Objective))}
	if usual, ok := k.times.Quantile(usualQuantile, now); ok {
		p.usual = usual
	}
	p.straggler = time.Duration(defaultLateFactor * float64(p.usual))
	if late, ok := k.times.Quantile(stragglerQuantile, now); ok {
		p.straggler = late
	}
	p.connecting = time.Duration(defaultLateFactor * float64(p.usual))
	if connecting, ok := k.connecting.Quantile(usualQuantile, now); ok {
		p.connecting = connecting
	}
	return p
}

// statsByRoute holds the latency statistics by route name. It is safe for concurrent use.
type statsByRoute struct {
	mu    sync.Mutex
	known map[string]*routeStats
}

// of returns the statistics of a route, which are created on first use.
func (k *statsByRoute) of(route *catalog.Route) *routeStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	found, ok := k.known[route.Name]
	if !ok {
		if k.known == nil || len(k.known) >= maxRoutes {
			k.known = map[string]*routeStats{}
		}
		found = newRouteStats()
		k.known[route.Name] = found
	}
	return found
}
