package admission

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Limiter bounds each workload's queries in flight on this host by what its
// targets carry, so that overload is refused before any work is done. It is
// safe for concurrent use.
type Limiter struct {
	// workloads maps model.WorkloadName to *workloadLimit.
	workloads sync.Map
}

// Observed is what a query that was let in met at the targets.
type Observed struct {
	// Waited is the longest queueing time of the answers used.
	Waited time.Duration
	// Took is a typical time of an exchange, zero if there was none.
	Took time.Duration
	// Refused is set if targets refused work for lack of room.
	Refused bool
}

// NewLimiter returns a Limiter.
func NewLimiter() *Limiter { return &Limiter{} }

// Enter lets a query in or refuses it at once. On success leave must be called
// once, when the query is over.
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
