package scatter

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// counters count the sub-requests and hedges sent, and by reason the retries sent
// and the hedges and retries refused.
type counters struct {
	sent    tally.Counter
	hedges  tally.Counter
	reasons *metrics.ReasonCounters
}

func newCounters(scope metrics.Scope) *counters {
	return &counters{
		sent:    scope.Counter("subrequests_sent"),
		hedges:  scope.Counter("hedges_sent"),
		reasons: metrics.NewReasonCounters(scope),
	}
}
