package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/config"
	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/subquery"
	"github.com/swiftvane/swiftvane/internal/target"
	"github.com/swiftvane/swiftvane/internal/verdict"
	"github.com/swiftvane/swiftvane/internal/view"
)

const (
	measuredWorkload model.WorkloadName = "measured"
	measuredHost     model.HostID       = "host-1"
	measuredRegion   model.Region       = "region-1"
)

// instantDialer opens connections to targets that answer at once, without I/O.
type instantDialer struct{}

// Dial implements target.Dialer.
func (instantDialer) Dial(context.Context, *model.Target, time.Duration) (target.Conn, error) {
	return instantConn{}, nil
}

// instantConn answers every exchange with its own body.
type instantConn struct{}

// Search implements target.Conn.
func (instantConn) Search(_ context.Context, batch []target.Exchange) []*subquery.Answer {
	answers := make([]*subquery.Answer, len(batch))
	for i := range batch {
		answers[i] = &subquery.Answer{Verdict: verdict.Ran, Snapshot: batch[i].Request.Snapshot, Body: batch[i].Request.Body}
	}
	return answers
}

// Cancel implements target.Conn.
func (instantConn) Cancel(context.Context, []uint64) error { return nil }

// Probe implements target.Conn.
func (instantConn) Probe(context.Context) (subquery.Load, error) { return subquery.Load{}, nil }

// Broken implements target.Conn.
func (instantConn) Broken() bool { return false }

// Close implements target.Conn.
func (instantConn) Close() error { return nil }

// fixedView is a view.Source of one view.
type fixedView struct{ v atomic.Pointer[view.View] }

// Current implements view.Source.
func (f *fixedView) Current() *view.View { return f.v.Load() }

// oneHostView returns a view of one workload with a target a shard, all of them
// owned by owner.
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
