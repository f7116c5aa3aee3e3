package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// returnMargin is kept free of the objective for the transfer of the request and the
	// answer between caller and host.
	returnMargin = 9 * time.Millisecond
	// returnShare is the largest share of the objective that the margin may take.
	returnShare = 0.3
	// finalMargin is how long before the caller's deadline the request times out.
	finalMargin = 5 * time.Millisecond
	// hedgeLead is how long before the objective passes a hedge must be sent to
	// answer in time, as a factor of the usual response time.
	hedgeLead = 1.5
	// hedgeEarliest is the minimum time before a hedge that needs a new connection,
	// as a factor of the usual response time.
	hedgeEarliest = 1.5
)

// schedule holds the time limits of one request.
type schedule struct {
	// onTime is the latest time at which an answer still meets the objective.
	onTime time.Time
	// final is when the request times out.
	final time.Time
	// deadline is the deadline sent to the targets.
	deadline time.Time
}

// newSchedule returns the time limits of a request. Its deadline is the route's
// timeout or the caller's, whichever is shorter.
func newSchedule(route *catalog.Route, r *exchange.Request) schedule {
	timeout := route.Timeout
	if r.CallerTimeout > 0 && (timeout <= 0 || r.CallerTimeout < timeout) {
		timeout = r.CallerTimeout
	}
	margin := min(returnMargin, time.Duration(returnShare*float64(route.Objective)))
	deadline := r.Arrived.Add(timeout)
	return schedule{
		onTime:   r.Arrived.Add(route.Objective - margin - r.Reserved),
		final:    deadline.Add(-finalMargin),
		deadline: deadline,
	}
}

// hedgeTime returns when a sub-request that was sent at sent is hedged: once it
// counts as late, but early enough for the hedge to meet the objective. ready is set
// if another target has an idle connection. If none has, the hedge is sent earlier
// by the time it takes to open one, but not before hedgeEarliest.
func (s schedule) hedgeTime(sent time.Time, p expectedTimes, ready bool) time.Time {
	late := sent.Add(p.straggler)
	latest := s.onTime.Add(-time.Duration(hedgeLead * float64(p.usual)))
	if !ready {
		latest = s.onTime.Add(-max(p.connecting, time.Duration(hedgeLead*float64(p.usual))))
		earliest := sent.Add(time.Duration(hedgeEarliest * float64(p.usual)))
		if latest.Before(earliest) {
			latest = earliest
		}
	}
	if latest.Before(late) && latest.After(sent.Add(p.usual)) {
		return latest
	}
	return late
}
