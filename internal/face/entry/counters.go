package entry

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// counters are the metrics of the entry role.
type counters struct {
	scope    metrics.Scope
	queries  tally.Counter
	answered tally.Counter
	partial  tally.Counter
	resends  tally.Counter
	latency  tally.Timer
}

func newCounters(scope metrics.Scope) counters {
	return counters{
		scope:    scope,
		queries:  scope.Counter("queries"),
		answered: scope.Counter("queries_answered"),
		partial:  scope.Counter("queries_partial"),
		resends:  scope.Counter("queries_resent"),
		latency:  scope.Timer("query_latency"),
	}
}
