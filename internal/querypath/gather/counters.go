package gather

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Counters counts discarded sub-answers by reason.
type Counters struct {
	late, duplicate, wrongSnapshot tally.Counter
}

// NewCounters returns Counters that report to scope.
func NewCounters(scope metrics.Scope) *Counters {
	counter := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("subanswers_discarded")
	}
	return &Counters{
		late:          counter("late"),
		duplicate:     counter("duplicate"),
		wrongSnapshot: counter(string(verdict.SnapshotMismatch)),
	}
}

// Late counts a sub-answer that arrived after its query had ended.
func (c *Counters) Late() { c.late.Inc(1) }
