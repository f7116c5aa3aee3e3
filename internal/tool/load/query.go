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
	// Number is the query's index in the run, from zero.
	Number     int
	Caller     model.CallerID
	Workload   model.WorkloadName
	Services   []model.ServiceName
	Body       json.RawMessage
	Deadline   time.Duration
	Idempotent *bool
}

// Outcome is the result of a query.
type Outcome struct {
	// Answered is set for an answer, full or partial.
	Answered bool
	Verdict  verdict.Verdict
	Reason   verdict.Reason
	// Shards is the number of shards that the query needs, Covered the number that
	// the answer covers.
	Shards  int
	Covered int
	// Missing counts the shards that the answer does not cover, by reason.
	Missing map[verdict.Reason]int
	// Extra is the number of sub-requests beyond one per shard.
	Extra int
	// RetryAfter is the retry delay that a refusal suggests, or zero.
	RetryAfter time.Duration
}

// Client sends queries to the system under load. Implementations must be safe for
// concurrent use.
type Client interface {
	// Ask sends a query and waits for its outcome.
	Ask(ctx context.Context, q *Query) Outcome
}
