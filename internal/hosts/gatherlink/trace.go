package gatherlink

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// maxTraceLegs bounds the legs of another host's trace, which are logged.
const maxTraceLegs = 16

// boundedTrace returns the trace of another host with numbers that counters and sums can take, nil for
// none.
func boundedTrace(t *exchange.Trace) *exchange.Trace {
	if t == nil {
		return nil
	}
	bounded := *t
	for _, n := range []*int{&bounded.Hedges, &bounded.Retries, &bounded.Denied, &bounded.Shards, &bounded.Parts} {
		*n = bounds.Count(*n)
	}
	bounded.Objective = bounds.Period(int64(t.Objective), time.Nanosecond)
	bounded.Legs = t.Legs[:min(len(t.Legs), maxTraceLegs)]
	return &bounded
}
