package naive

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/content"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, shape fixture.Shape) (*cluster.Cluster, *Index, *Query) {
	t.Helper()
	c, err := cluster.Start(cluster.Options{Shapes: []fixture.Shape{shape}, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	shardMap := shape.ShardMap(fixture.FirstSnapshot)
	index := &Index{ShardMap: &shardMap, Targets: make(map[model.TargetID]*model.Target)}
	for _, running := range c.Targets {
		index.Targets[running.ID()] = &model.Target{ID: running.ID(), Addr: running.Addr(), MaxConnections: shape.MaxConnections}
	}
	return c, index, &Query{
		RequestID: "r1", Workload: shape.Workload, Body: []byte(`{"q":1}`),
		Deadline: time.Now().Add(30 * time.Second), Idempotent: true,
	}
}

func TestSequentialAndScatterAnswerEveryShard(t *testing.T) {
	shape := fixture.Generic("w", 6, 2)
	c, index, q := start(t, shape)
	scatter := NewScatter(target.NewHTTPDialer(), index, 5)
	defer scatter.Close()
	var want []Result
	for i := range shape.Services {
		want = append(want, Result{
			Shard: shape.Shard(i), Service: shape.Service(i), Snapshot: 1,
			Body: content.Answer("w", shape.Shard(i), 1, q.Body),
		})
	}
	require.Equal(t, want, Sequential(t.Context(), target.NewHTTPDialer(), index, q))
	require.Equal(t, want, scatter.Query(t.Context(), q))
	require.Equal(t, 12, c.Runs("r1").Finished)
}

func TestServicesLimitTheQueriedShards(t *testing.T) {
	shape := fixture.Generic("w", 3, 1)
	_, index, q := start(t, shape)
	q.Services = []model.ServiceName{shape.Service(2)}
	results := Sequential(t.Context(), target.NewHTTPDialer(), index, q)
	require.Len(t, results, 1)
	require.Equal(t, shape.Shard(2), results[0].Shard)
}

func TestFailedShardHasReasonAndNoBody(t *testing.T) {
	c, index, q := start(t, fixture.Generic("w", 3, 1))
	c.Targets[0].Close()
	require.NoError(t, c.Targets[1].SetFaults(standin.Faults{WrongSnapshot: 7}))
	scatter := NewScatter(target.NewHTTPDialer(), index, 1)
	defer scatter.Close()
	for _, results := range [][]Result{Sequential(t.Context(), target.NewHTTPDialer(), index, q), scatter.Query(t.Context(), q)} {
		require.Equal(t, verdict.TargetUnreachable, results[0].Reason)
		require.Equal(t, verdict.SnapshotMismatch, results[1].Reason)
		require.Empty(t, results[1].Body)
		require.Empty(t, results[2].Reason)
	}
}

func TestScatterStaysWithinItsShareOfConnections(t *testing.T) {
	c, index, q := start(t, fixture.Generic("w", 2, 1))
	require.NoError(t, c.SetFaults(standin.Faults{LatencyMedianUS: 1000}))
	scatter := NewScatter(target.NewHTTPDialer(), index, 5)
	defer scatter.Close()
	done := make(chan []Result)
	const queries = 30
	for range queries {
		go func() { done <- scatter.Query(t.Context(), q) }()
	}
	for range queries {
		for _, result := range <-done {
			require.Empty(t, result.Reason)
		}
	}
	require.LessOrEqual(t, c.Runs("").PeakConnections, 5)
}
