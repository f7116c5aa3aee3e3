// Package metrics provides the tier's metrics scope and serves it to scrapers.
package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Scope is the metrics scope of a component. It is an alias of tally.Scope, so that
// the constructors of all packages take the same type.
type Scope = tally.Scope

// IncReason increments the named counter with a reason tag.
func IncReason(s Scope, name string, reason verdict.Reason) {
	s.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
}
