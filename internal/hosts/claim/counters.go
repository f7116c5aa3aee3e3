package claim

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// counters holds the metrics of the service. Refusals are counted by reason as
// "claims_refused", votes by answer as "claim_votes".
type counters struct {
	scope      metrics.Scope
	granted    tally.Counter
	duplicates tally.Counter
	released   tally.Counter
	overloaded tally.Counter
	pauses     tally.Counter
	retries    tally.Counter
	entries    tally.Gauge
	votes      [rules.GivenUp + 1]tally.Counter
}

func newCounters(scope metrics.Scope) counters {
	c := counters{
		scope:      scope,
		granted:    scope.Counter("claims_granted"),
		duplicates: scope.Counter("claims_duplicate"),
		released:   scope.Counter("claims_released"),
		overloaded: scope.Counter("claim_messages_refused"),
		pauses:     scope.Counter("claim_pauses"),
		retries:    scope.Counter("claim_retries"),
		entries:    scope.Gauge("claim_entries"),
	}
	for answer := range c.votes {
		c.votes[answer] = scope.Tagged(map[string]string{"answer": rules.Answer(answer).String()}).Counter("claim_votes")
	}
	return c
}

func (c *counters) vote(answer rules.Answer) { c.votes[answer].Inc(1) }
