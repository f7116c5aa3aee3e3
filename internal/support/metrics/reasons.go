package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// ReasonCounters caches counters with a reason tag, which saves looking them up in
// the scope for each increment. It is safe for concurrent use.
type ReasonCounters struct {
	scope Scope
	// counters maps reasonKey to tally.Counter.
	counters sync.Map
}

type reasonKey struct {
	name   string
	reason verdict.Reason
}

// NewReasonCounters returns an empty cache of counters of scope.
func NewReasonCounters(scope Scope) *ReasonCounters { return &ReasonCounters{scope: scope} }

// Counter returns the named counter with a reason tag.
func (r *ReasonCounters) Counter(name string, reason verdict.Reason) tally.Counter {
	key := reasonKey{name: name, reason: reason}
	found, ok := r.counters.Load(key)
	if !ok {
		made := r.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name)
		found, _ = r.counters.LoadOrStore(key, made)
	}
	return found.(tally.Counter)
}
