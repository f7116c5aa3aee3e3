package dispatch

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// counters count the exchanges, their sub-requests and the dials of a Local and, by
// reason, its refused and failed sub-requests.
type counters struct {
	exchanges, subrequests tally.Counter
	dials, dialFailures    tally.Counter
	// late counts the answers to sub-requests that were already cancelled.
	late    tally.Counter
	reasons *metrics.ReasonCounters
}

func newCounters(scope metrics.Scope) *counters {
	return &counters{
		exchanges:    scope.Counter("exchanges"),
		subrequests:  scope.Counter("exchange_subrequests"),
		dials:        scope.Counter("target_dials"),
		dialFailures: scope.Counter("target_dial_failures"),
		late:         scope.Counter("exchange_answers_late"),
		reasons:      metrics.NewReasonCounters(scope),
	}
}

func (c *counters) refused(r verdict.Reason) { c.reasons.Counter("dispatch_refused", r).Inc(1) }
func (c *counters) failed(r verdict.Reason)  { c.reasons.Counter("dispatch_failed", r).Inc(1) }
