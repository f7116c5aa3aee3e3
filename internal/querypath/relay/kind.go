package relay

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/latency"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// usualQuantile of a route's sub-requests is their usual time.
	usualQuantile = 0.5
	// stragglerQuantile of them answer before a hedge is sent.
	stragglerQuantile = 0.93
	// guessShare of the objective is the usual time before there are samples.
	guessShare = 0.12
	// guessFactor of the usual time makes a straggler before there are samples.
	guessFactor = 2.5
	// paceRefresh is how long a computed pace is reused.
	paceRefresh = 200 * time.Millisecond
	// maxKinds bounds the routes that are remembered.
	maxKinds = 4096
)

// pace is how fast a route's sub-requests are answered.
type pace struct {
	usual time.Duration
	// straggler is the time after which a sub-request counts as late.
	straggler time.Duration
	// connecting is the usual time of a sub-request that needs a connection first.
	connecting time.Duration
}

// kind is what is known of one route's sub-requests.
type kind struct {
	times latency.Histogram
	// connecting holds the times of those that needed a connection first.
	connecting latency.Histogram

	mu      sync.Mutex
	cached  pace
	expires time.Time
}

// observe notes the time of an attempt that was answered; begun is when it was
// given to the target's pool.
func (k *kind) observe(begun time.Time, o targetpool.Outcome) {
	k.times.Observe(o.Ended.Sub(o.Sent), o.Ended)
	if o.FirstOnConn {
		k.connecting.Observe(o.Ended.Sub(begun), o.Ended)
	}
}

// pace returns the route's pace at now.
func (k *kind) pace(route *catalog.Route, now time.Time) pace {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.expires) {
		return k.cached
	}
	k.expires = now.Add(paceRefresh)
	k.cached = k.measure(route, now)
	return k.cached
}

// measure computes the pace, with guesses while there are too few samples.
func (k *kind) measure(route *catalog.Route, now time.Time) pace {
	p := pace{usual: time.Duration(guessShare * float64(route.Objective))}
	if usual, ok := k.times.Quantile(usualQuantile, now); ok {
		p.usual = usual
	}
	p.straggler = time.Duration(guessFactor * float64(p.usual))
	if late, ok := k.times.Quantile(stragglerQuantile, now); ok {
		p.straggler = late
	}
	p.connecting = time.Duration(guessFactor * float64(p.usual))
	if connecting, ok := k.connecting.Quantile(usualQuantile, now); ok {
		p.connecting = connecting
	}
	return p
}

// kinds holds the kinds by route name.
type kinds struct {
	mu    sync.Mutex
	known map[string]*kind
}

func (k *kinds) of(route *catalog.Route) *kind {
	k.mu.Lock()
	defer k.mu.Unlock()
	found, ok := k.known[route.Name]
	if !ok {
		if k.known == nil || len(k.known) >= maxKinds {
			k.known = map[string]*kind{}
		}
		found = &kind{}
		k.known[route.Name] = found
	}
	return found
}
