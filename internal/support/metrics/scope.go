// Package metrics names the tier's counters and serves them to scrapers.
package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Scope is where a component reports. It is tally's, under a name of ours so
// that constructors read alike.
type Scope = tally.Scope

// Reason increments the counter name with a reason tag.
func Reason(s Scope, name string, reason verdict.Reason) {
	s.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
}
