package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// returnMargin is the time kept for the answer's way back to the caller,
	// the request's way here and the host's own work.
	returnMargin = 13 * time.Millisecond
	// returnShare bounds the margin for short objectives.
	returnShare = 0.3
	// finalMargin is kept before the end of the caller's patience.
	finalMargin = 5 * time.Millisecond
	// hedgeLead is how many usual times before the objective passes a hedge
	// must be sent to be of use.
	hedgeLead = 1.5
	// hedgeEarliest is how many usual times a sub-request has at least before a
	// hedge that needs a connection first is sent.
	hedgeEarliest = 1.5
)

// schedule holds the times that matter to one request.
type schedule struct {
	// onTime is until when an answer meets the objective.
	onTime time.Time
	// final is when the request is given up.
	final time.Time
	// deadline is what targets are told.
	deadline time.Time
}

func newSchedule(route *catalog.Route, r *exchange.Request) schedule {
	patience := route.Timeout
	if r.CallerTimeout > 0 && (patience <= 0 || r.CallerTimeout < patience) {
		patience = r.CallerTimeout
	}
	margin := min(returnMargin, time.Duration(returnShare*float64(route.Objective)))
	deadline := r.Arrived.Add(patience)
	return schedule{
		onTime:   r.Arrived.Add(route.Objective - margin),
		final:    deadline.Add(-finalMargin),
		deadline: deadline,
	}
}

// hedgeTime is when a sub-request that was sent at sent gets a second target:
// once it counts as late, but early enough for the second to be on time. ready
// says that another target can be asked without opening a connection.
func (s schedule) hedgeTime(sent time.Time, p pace, ready bool) time.Time {
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
