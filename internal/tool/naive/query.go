// Package naive asks every shard of a query, one replica each, with no hedge, no
// cache and no retry. It is the reference that the tier is compared with: in
// turn for what an answer must be, concurrently for how long it takes.
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

// Query is one query.
type Query struct {
	RequestID  string
	Caller     model.CallerID
	Workload   model.WorkloadName
	Body       []byte
	Deadline   time.Time
	Idempotent bool
	// Services are those wanted; empty means all.
	Services []model.ServiceName
}

// Result is the outcome for one shard.
type Result struct {
	Shard    model.ShardID
	Service  model.ServiceName
	Snapshot model.SnapshotID
	Body     []byte
	// Reason is empty if the shard answered from the snapshot asked for.
	Reason verdict.Reason
}

// Index is what a query is asked of.
type Index struct {
	ShardMap *model.ShardMap
	Targets  map[model.TargetID]*model.Target
}

// shards returns the shards that q wants.
func (x *Index) shards(q *Query) []model.Shard {
	var wanted []model.Shard
	for _, shard := range x.ShardMap.Shards {
		if len(q.Services) == 0 || slices.Contains(q.Services, shard.Service) {
			wanted = append(wanted, shard)
		}
	}
	return wanted
}

// ask asks for one shard on conn.
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

// missing is the result for a shard that could not be asked.
func missing(shard *model.Shard, reason verdict.Reason) Result {
	return Result{Shard: shard.ID, Service: shard.Service, Reason: reason}
}
