package dispatch

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/metrics"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// counters count what dispatch does, by reason where there is one.
type counters struct {
	scope               metrics.Scope
	exchanges, batched  tally.Counter
	dials, dialFailures tally.Counter
	late                tally.Counter
	// byReason maps reasonKey to tally.Counter.
	byReason sync.Map
}

type reasonKey struct {
	name   string
	reason verdict.Reason
}

func newCounters(scope metrics.Scope) *counters {
	return &counters{
		scope:        scope,
		exchanges:    scope.Counter("exchanges"),
		batched:      scope.Counter("exchange_subrequests"),
		dials:        scope.Counter("target_dials"),
		dialFailures: scope.Counter("target_dial_failures"),
		late:         scope.Counter("exchange_answers_late"),
	}
}

func (c *counters) refused(r verdict.Reason)  { c.inc("dispatch_refused", r) }
func (c *counters) failed(r verdict.Reason)   { c.inc("dispatch_failed", r) }
func (c *counters) rerouted(r verdict.Reason) { c.inc("dispatch_rerouted", r) }

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
