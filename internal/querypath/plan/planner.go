package plan

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// Options configure a Planner.
type Options struct {
	// Holdings tracks the snapshots that targets reported; required.
	Holdings *Holdings
}

// Planner makes plans. It is safe for concurrent use.
type Planner struct {
	holdings *Holdings
}

// NewPlanner returns a Planner.
func NewPlanner(o Options) *Planner { return &Planner{holdings: o.Holdings} }

// Plan pins the newest snapshot that is available for all shards of the query. If
// there is none, it pins the one that is available for the most shards.
func (p *Planner) Plan(v *view.View, q Query) (*Plan, *verdict.Error) {
	if v.Fleet == nil {
		return nil, verdict.Refuse(verdict.HostNotReady, notReadyRetryAfter, "no configuration was accepted yet")
	}
	index, known := v.Fleet.Indexes[q.Workload]
	if _, ok := v.Fleet.Workloads[q.Workload]; !ok || !known {
		return nil, verdict.RefuseField(verdict.UnknownWorkload, "workload", "workload %q is not configured", q.Workload)
	}
	best, refusal := p.pin(v, q, index)
	if refusal != nil {
		return nil, refusal
	}
	resolvePolicies(best, q.Caller, time.Now())
	return best, nil
}

// resolvePolicies sets the policies of the plan that are in force at now.
func resolvePolicies(p *Plan, caller model.CallerID, now time.Time) {
	f := p.View.Fleet
	p.Policy = f.Policy(p.Workload, "", caller, now)
	for i := range f.Exceptions {
		x := &f.Exceptions[i]
		if x.Workload != p.Workload || x.Service == "" {
			continue
		}
		if p.Services == nil {
			p.Services = make(map[model.ServiceName]*config.Policy)
		}
		own := f.Policy(p.Workload, x.Service, caller, now)
		p.Services[x.Service] = &own
	}
}

// pin returns a plan with the best of the published snapshots, trying the newest
// first. It refuses the query if no snapshot has all its services or all are excluded.
func (p *Planner) pin(v *view.View, q Query, index *model.Index) (*Plan, *verdict.Error) {
	var best *Plan
	var refusal *verdict.Error
	bestCovered := -1
	for i := len(index.Snapshots) - 1; i >= 0; i-- {
		m := &index.Snapshots[i]
		if slices.Contains(q.Exclude, m.Snapshot) {
			continue
		}
		shards, unknown := selectShards(m, q.Services)
		if unknown != "" {
			if refusal == nil {
				refusal = verdict.RefuseField(verdict.UnknownService, "services", "workload %q has no service %q", q.Workload, unknown)
			}
			continue
		}
		covered := p.covered(v, q.Workload, m.Snapshot, shards)
		if covered > bestCovered {
			bestCovered = covered
			best = &Plan{View: v, Workload: q.Workload, Snapshot: m.Snapshot, Shards: shards}
		}
		if covered == len(shards) {
			break
		}
	}
	if best != nil {
		return best, nil
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, verdict.Refuse(verdict.SnapshotUnavailable, snapshotRetryAfter, "no other snapshot of workload %q is published", q.Workload)
}

// covered returns the number of shards with a target that may hold the snapshot and
// takes new work.
func (p *Planner) covered(v *view.View, w model.WorkloadName, s model.SnapshotID, shards []model.Shard) int {
	n := 0
	for i := range shards {
		for _, t := range shards[i].Replicas {
			if v.TakesWork(t) && p.holdings.Holds(w, t, s) {
				n++
				break
			}
		}
	}
	return n
}

// selectShards returns the shards of the services, or all shards if services is
// empty. If a service is not in the shard map, it returns the first such service.
func selectShards(m *model.ShardMap, services []model.ServiceName) ([]model.Shard, model.ServiceName) {
	if len(services) == 0 {
		return m.Shards, ""
	}
	found := make(map[model.ServiceName]bool, len(services))
	for _, s := range services {
		found[s] = false
	}
	shards := make([]model.Shard, 0, len(services))
	for i := range m.Shards {
		if _, wanted := found[m.Shards[i].Service]; wanted {
			found[m.Shards[i].Service] = true
			shards = append(shards, m.Shards[i])
		}
	}
	for _, s := range services {
		if !found[s] {
			return nil, s
		}
	}
	return shards, ""
}
