package plan

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// shardMap returns a shard map with shards a and b of services sa and sb, which have
// two replicas each.
func shardMap(s model.SnapshotID) model.ShardMap {
	return model.ShardMap{Snapshot: s, Shards: []model.Shard{
		{ID: "a", Service: "sa", Replicas: []model.TargetID{"a0", "a1"}},
		{ID: "b", Service: "sb", Replicas: []model.TargetID{"b0", "b1"}},
	}}
}

func testView(maps ...model.ShardMap) *view.View {
	return &view.View{
		Fleet: &config.Fleet{
			Workloads: map[model.WorkloadName]*config.Workload{"w": {}},
			Indexes:   map[model.WorkloadName]*model.Index{"w": {Snapshots: maps}},
		},
		LeavingTargets: map[model.TargetID]struct{}{},
	}
}

func report(h *Holdings, t model.TargetID, oldest, newest model.SnapshotID) {
	h.Observe("w", t, &subquery.Load{Oldest: oldest, Newest: newest})
}

func pinned(t *testing.T, h *Holdings, v *view.View, q Query) model.SnapshotID {
	t.Helper()
	p, err := NewPlanner(Options{Holdings: h}).Plan(v, q)
	require.Nil(t, err)
	return p.Snapshot
}

func TestNewestSnapshotThatCoversAllShardsIsPinned(t *testing.T) {
	h := NewHoldings()
	v := testView(shardMap(1), shardMap(2), shardMap(3))
	q := Query{Workload: "w"}
	require.Equal(t, model.SnapshotID(3), pinned(t, h, v, q), "nothing reported yet")
	for _, id := range []model.TargetID{"a0", "a1", "b0", "b1"} {
		report(h, id, 1, 2)
	}
	require.Equal(t, model.SnapshotID(2), pinned(t, h, v, q))
	report(h, "a0", 2, 3)
	require.Equal(t, model.SnapshotID(2), pinned(t, h, v, q), "shard b has no target with 3")
	report(h, "b1", 3, 3)
	require.Equal(t, model.SnapshotID(3), pinned(t, h, v, q))
	v.LeavingTargets["b1"] = struct{}{}
	require.Equal(t, model.SnapshotID(2), pinned(t, h, v, q), "the only target with 3 is leaving")
	delete(v.LeavingTargets, "b1")
	v.Fleet.EvacuatedTargets = map[model.TargetID]struct{}{"b1": {}}
	require.Equal(t, model.SnapshotID(2), pinned(t, h, v, q), "the only target with 3 is evacuated")
}

func TestSnapshotWithMostShardsIsPinnedIfNoneCoversAll(t *testing.T) {
	h := NewHoldings()
	v := testView(shardMap(1), shardMap(2))
	for _, id := range []model.TargetID{"a0", "a1"} {
		report(h, id, 2, 2)
	}
	for _, id := range []model.TargetID{"b0", "b1"} {
		report(h, id, 5, 5)
	}
	require.Equal(t, model.SnapshotID(2), pinned(t, h, v, Query{Workload: "w"}))
	require.Equal(t, model.SnapshotID(1), pinned(t, h, v, Query{Workload: "w", Exclude: []model.SnapshotID{2}}))
	_, err := NewPlanner(Options{Holdings: h}).Plan(v, Query{Workload: "w", Exclude: []model.SnapshotID{1, 2}})
	require.Equal(t, verdict.SnapshotUnavailable, err.Reason)
}

func TestPlanContainsOnlyRequestedServices(t *testing.T) {
	p, err := NewPlanner(Options{Holdings: NewHoldings()}).Plan(testView(shardMap(1)), Query{Workload: "w", Services: []model.ServiceName{"sb"}})
	require.Nil(t, err)
	require.Len(t, p.Shards, 1)
	require.Equal(t, model.ShardID("b"), p.Shards[0].ID)
}

func TestUnknownNamesAreRefusedWithField(t *testing.T) {
	planner := NewPlanner(Options{Holdings: NewHoldings()})
	_, err := planner.Plan(testView(shardMap(1)), Query{Workload: "x"})
	require.Equal(t, verdict.UnknownWorkload, err.Reason)
	require.Equal(t, "workload", err.Field)
	_, err = planner.Plan(testView(shardMap(1)), Query{Workload: "w", Services: []model.ServiceName{"sa", "x"}})
	require.Equal(t, verdict.UnknownService, err.Reason)
	require.Equal(t, "services", err.Field)
	require.Equal(t, verdict.NotRun, err.Verdict)
	_, err = planner.Plan(&view.View{}, Query{Workload: "w"})
	require.Equal(t, verdict.HostNotReady, err.Reason)
}

func TestServiceWithExceptionHasItsOwnPolicy(t *testing.T) {
	raw := func(v any) json.RawMessage {
		b, err := json.Marshal(v)
		require.NoError(t, err)
		return b
	}
	strict := 1.0
	v := testView(shardMap(1))
	v.Fleet.Defaults.MinCoverage = 0.5
	var x config.Exception
	require.NoError(t, json.Unmarshal(raw(config.Exception{
		Workload: "w", Service: "sa", Policy: config.PolicyPatch{MinCoverage: &strict}, Expires: "2099-01-01",
	}), &x))
	v.Fleet.Exceptions = []config.Exception{x}
	p, err := NewPlanner(Options{Holdings: NewHoldings()}).Plan(v, Query{Workload: "w"})
	require.Nil(t, err)
	require.Contains(t, p.Services, model.ServiceName("sa"))
	require.NotContains(t, p.Services, model.ServiceName("sb"))
	require.Equal(t, 0.5, p.PolicyOf("sb").MinCoverage)
}

func TestForgetRemovesReportsOfUnknownTargets(t *testing.T) {
	h := NewHoldings()
	report(h, "a0", 1, 1)
	require.False(t, h.Holds("w", "a0", 2))
	require.True(t, h.Holds("other", "a0", 2))
	h.Forget(func(model.TargetID) bool { return false })
	require.True(t, h.Holds("w", "a0", 2))
}
