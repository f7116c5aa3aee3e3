package load

import (
	"context"
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Query is one query of a run.
type Query struct {
	// Number counts the run's queries from zero.
	Number     int
	Caller     model.CallerID
	Workload   model.WorkloadName
	Services   []model.ServiceName
	Body       json.RawMessage
	Deadline   time.Duration
	Idempotent *bool
}

// Outcome is what became of a query.
type Outcome struct {
	// Answered is set for an answer, whole or partial.
	Answered bool
	Verdict  verdict.Verdict
	Reason   verdict.Reason
	// Shards is what the answer covers or misses; Covered is what it covers.
	Shards  int
	Covered int
	// Missing counts missing shards by reason.
	Missing map[verdict.Reason]int
	// Extra is the sub-requests beyond one a shard.
	Extra int
	// RetryAfter is set on refusals that say when to come back.
	RetryAfter time.Duration
}

// Asker sends a query and waits for its outcome. It is called from many
// goroutines.
type Asker interface {
	Ask(ctx context.Context, q *Query) Outcome
}
