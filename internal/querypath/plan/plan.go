// Package plan selects the snapshot and the shards of one query.
//
// A Plan is made from a single view and is immutable afterwards. The package starts
// no goroutines.
package plan

import (
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// Query describes the query to plan.
type Query struct {
	Caller   model.CallerID
	Workload model.WorkloadName
	// Services restricts the query to these services; empty means every service of
	// the workload.
	Services []model.ServiceName
	// Exclude lists the snapshots with which earlier plans of the same query failed.
	Exclude []model.SnapshotID
}

// Plan holds the snapshot pinned for a query and the shards to query.
type Plan struct {
	View     *view.View
	Workload model.WorkloadName
	Snapshot model.SnapshotID
	// Shards lists the shards to query, in the order of the shard map.
	Shards []model.Shard
	// Policy is the workload's policy for the caller.
	Policy config.Policy
	// Services holds the policies of services with an exception. Policy applies to
	// the others.
	Services map[model.ServiceName]*config.Policy
}

// PolicyOf returns the policy of a service.
func (p *Plan) PolicyOf(s model.ServiceName) *config.Policy {
	if own, ok := p.Services[s]; ok {
		return own
	}
	return &p.Policy
}
