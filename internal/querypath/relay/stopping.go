package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// outlastQuantile is the quantile of a route's response times by which it is judged whether
	// an idempotent request can end in time, and outlastFactor the multiple of it that has to be
	// left.
	outlastQuantile = 0.99
	outlastFactor   = 2
)

// StopBy makes the executor refuse requests that might not be answered by end. Requests in
// progress continue.
func (e *Executor) StopBy(end time.Time) { e.end.Store(&end) }

// outlasts reports whether a request might still be in progress at the end of the service. One
// that must not be repeated has to fit with its whole time limit, as its caller couldn't know
// whether it ran. Another one has to fit by what its route's requests have taken, or by the
// route's objective where little is known of them.
func (e *Executor) outlasts(route *catalog.Route, r *exchange.Request, now time.Time) bool {
	end := e.end.Load()
	if end == nil || !end.Before(newSchedule(route, r).final) {
		return false
	}
	if !route.Idempotent {
		return true
	}
	slow, known := e.statsByRoute.of(route).times.Quantile(outlastQuantile, now)
	if !known {
		slow = route.Objective
	}
	return end.Sub(now) < outlastFactor*slow
}
