package admission

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Limiter limits each workload's queries in flight on this host to the capacity of
// its targets, so that excess queries are refused before any work is done. It is
// safe for concurrent use.
type Limiter struct {
	// workloads maps model.WorkloadName to *workloadLimit.
	workloads sync.Map
}

// Observed describes the load that an admitted query found at the targets.
type Observed struct {
	// Waited is the longest queueing time among the answers used.
	Waited time.Duration
	// Took is the typical duration of an exchange, or zero if there was none.
	Took time.Duration
	// Refused is set if a target refused work because it was overloaded.
	Refused bool
}

// NewLimiter returns a Limiter.
func NewLimiter() *Limiter { return &Limiter{} }

// Enter admits a query or refuses it, without waiting. On success leave must be
// called once, when the query ends.
func (l *Limiter) Enter(w model.WorkloadName, caller model.CallerID) (leave func(*Observed), refused *verdict.Error) {
	found, ok := l.workloads.Load(w)
	if !ok {
		found, _ = l.workloads.LoadOrStore(w, newWorkloadLimit())
	}
	limit := found.(*workloadLimit)
	if !limit.enter(caller) {
		return nil, verdict.Refuse(verdict.HostOverloaded, overloadRetryAfter,
			"the targets of workload %q are at their limit; other callers' queries are ahead", w)
	}
	return func(o *Observed) { limit.leave(caller, o, time.Now()) }, nil
}
