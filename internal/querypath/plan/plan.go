// Package plan pins the snapshot and the shard map of one query.
//
// A Plan is made once from one view and does not change after that. The package
// starts no goroutine.
package plan

import (
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// Query says what to plan.
type Query struct {
	Caller   model.CallerID
	Workload model.WorkloadName
	// Services narrows the query; empty means every service of the workload.
	Services []model.ServiceName
	// Exclude are snapshots that earlier plans of the same query failed at.
	Exclude []model.SnapshotID
}

// Plan is the pinned snapshot with the shards that the query asks.
type Plan struct {
	View     *view.View
	Workload model.WorkloadName
	Snapshot model.SnapshotID
	// Shards are the shards asked, in the order of the shard map.
	Shards []model.Shard
	// Policy is the workload's policy for the caller.
	Policy config.Policy
	// Services are the policies of services that an exception names; the others
	// go by Policy.
	Services map[model.ServiceName]*config.Policy
}

// PolicyOf returns the policy of a service.
func (p *Plan) PolicyOf(s model.ServiceName) *config.Policy {
	if own, ok := p.Services[s]; ok {
		return own
	}
	return &p.Policy
}
