package capacity

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
)

const (
	measuredWorkload model.WorkloadName = "measured"
	measuredHost     model.HostID       = "host-1"
	measuredRegion   model.Region       = "region-1"
)

// fixedView is a view.Source that always returns the stored view.
type fixedView struct{ v atomic.Pointer[view.View] }

// Current implements view.Source.
func (f *fixedView) Current() *view.View { return f.v.Load() }

// oneHostView returns a view of one workload with one target per shard, all owned
// by owner.
func oneHostView(self, owner model.HostID, shards int) *fixedView {
	m := model.ShardMap{Snapshot: 1}
	fleet := &config.Fleet{
		Revision:  1,
		Defaults:  fixture.Defaults(),
		Workloads: map[model.WorkloadName]*config.Workload{measuredWorkload: {Idempotent: true}},
		Targets:   map[model.TargetID]*model.Target{},
	}
	owners := map[model.TargetID]view.Owners{}
	for i := range shards {
		id := model.TargetID(fmt.Sprintf("target-%04d", i))
		m.Shards = append(m.Shards, model.Shard{
			ID: model.ShardID(fmt.Sprintf("shard-%04d", i)), Service: model.ServiceName(fmt.Sprintf("service-%04d", i)),
			Replicas: []model.TargetID{id},
		})
		fleet.Targets[id] = &model.Target{ID: id, Addr: string(id), Region: measuredRegion, Slots: 2, MaxConnections: 25}
		owners[id] = view.Owners{Owner: owner}
	}
	fleet.Indexes = map[model.WorkloadName]*model.Index{measuredWorkload: {Snapshots: []model.ShardMap{m}}}
	f := &fixedView{}
	f.v.Store(&view.View{
		Self: model.Host{ID: self, Region: measuredRegion}, Fleet: fleet, Owners: owners,
		Hosts: &model.HostList{Revision: 1}, BuiltAt: time.Now(),
	})
	return f
}
