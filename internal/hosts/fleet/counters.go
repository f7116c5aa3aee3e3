package fleet

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// counters holds the metrics of a Fleet.
type counters struct {
	scope         metrics.Scope
	eventsDropped tally.Counter
	pauses        tally.Counter
	swaps         tally.Counter
	swapFailures  tally.Counter
	announced     tally.Counter
}

func newCounters(s metrics.Scope) *counters {
	s = s.SubScope("fleet")
	return &counters{
		scope:         s,
		eventsDropped: s.Counter("events_dropped"),
		pauses:        s.Counter("pauses"),
		swaps:         s.Counter("digest_swaps"),
		swapFailures:  s.Counter("digest_swap_failures"),
		announced:     s.Counter("announcements"),
	}
}

// offered counts an offered document by its outcome.
func (c *counters) offered(kind documentKind, result outcome) {
	c.scope.Tagged(map[string]string{"document": kind.String(), "reason": string(result)}).Counter("documents_offered").Inc(1)
}

// platformCall counts a call to the platform by its result.
func (c *counters) platformCall(kind documentKind, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.scope.Tagged(map[string]string{"document": kind.String(), "reason": result}).Counter("platform_calls").Inc(1)
}
