package scatter

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/metrics"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// counters count sub-requests sent and why extra ones were or were not.
type counters struct {
	scope  metrics.Scope
	sent   tally.Counter
	hedges tally.Counter
	// byReason maps reasonKey to tally.Counter.
	byReason sync.Map
}

type reasonKey struct {
	name   string
	reason verdict.Reason
}

func newCounters(scope metrics.Scope) *counters {
	return &counters{
		scope:  scope,
		sent:   scope.Counter("subrequests_sent"),
		hedges: scope.Counter("hedges_sent"),
	}
}

// inc increments the counter name with the reason as its tag.
func (c *counters) inc(name string, reason verdict.Reason) {
	key := reasonKey{name: name, reason: reason}
	found, ok := c.byReason.Load(key)
	if !ok {
		made := c.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name)
		found, _ = c.byReason.LoadOrStore(key, made)
	}
	found.(tally.Counter).Inc(1)
}
