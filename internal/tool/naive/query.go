// Package naive queries every shard, one replica each, without hedges, cache or
// retries. It is the baseline for the tier: Sequential defines the expected
// results, Scatter the latency to compare with.
package naive

import (
	"context"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// Query describes a query over the shards of a workload.
type Query struct {
	RequestID  string
	Caller     model.CallerID
	Workload   model.WorkloadName
	Body       []byte
	Deadline   time.Time
	Idempotent bool
	// Services restricts the query to the shards of these services; empty means
	// all shards.
	Services []model.ServiceName
}

// Result is the outcome for one shard.
type Result struct {
	Shard    model.ShardID
	Service  model.ServiceName
	Snapshot model.SnapshotID
	Body     []byte
	// Reason is empty if the shard answered from the requested snapshot.
	Reason verdict.Reason
}

// Index holds the shard map and the targets that queries run against.
type Index struct {
	ShardMap *model.ShardMap
	Targets  map[model.TargetID]*model.Target
}

// shards returns the shards that q selects.
func (x *Index) shards(q *Query) []model.Shard {
	var selected []model.Shard
	for _, shard := range x.ShardMap.Shards {
		if len(q.Services) == 0 || slices.Contains(q.Services, shard.Service) {
			selected = append(selected, shard)
		}
	}
	return selected
}

// ask sends the sub-request for one shard on conn and returns its result. An answer
// from another snapshot becomes SnapshotMismatch, and a failed result has no body.
func ask(ctx context.Context, conn target.Conn, id uint64, q *Query, shard *model.Shard, replica model.TargetID, snapshot model.SnapshotID) Result {
	answer := conn.Search(ctx, []target.Exchange{{ID: id, Request: &subquery.Request{
		RequestID:  q.RequestID,
		Caller:     q.Caller,
		Workload:   q.Workload,
		Service:    shard.Service,
		Shard:      shard.ID,
		Target:     replica,
		Snapshot:   snapshot,
		Body:       q.Body,
		Idempotent: q.Idempotent,
		Deadline:   q.Deadline,
	}}})[0]
	result := Result{Shard: shard.ID, Service: shard.Service, Snapshot: answer.Snapshot, Reason: answer.Reason}
	if answer.OK() && answer.Snapshot != snapshot {
		result.Reason = verdict.SnapshotMismatch
	}
	if result.Reason == "" {
		result.Body = answer.Body
	}
	return result
}

// missing returns the result for a shard that could not be queried.
func missing(shard *model.Shard, reason verdict.Reason) Result {
	return Result{Shard: shard.ID, Service: shard.Service, Reason: reason}
}
