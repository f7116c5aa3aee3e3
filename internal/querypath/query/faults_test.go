package query

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
)

func TestCrashingRequestTakesTwoTargetsAtMost(t *testing.T) {
	var crashes atomic.Int32
	tier := startTier(t, fixture.Generic("w", 1, 4), nil, func(*subquery.Request) { crashes.Add(1) })
	require.NoError(t, tier.cluster.SetFaults(standin.Faults{CrashBody: "poison", RestartMS: 500}))
	req := tier.query("poison", 10*time.Second)
	_, err := tier.executor.Execute(context.Background(), req)
	require.Equal(t, verdict.TargetCrashed, err.Reason)
	require.Equal(t, verdict.Unknown, err.Verdict)
	require.Equal(t, 2, tier.cluster.Runs("").Crashes)
	require.Equal(t, int32(2), crashes.Load())
	answer, err := tier.executor.Execute(context.Background(), tier.query("fine", 10*time.Second))
	require.Nil(t, err)
	require.Len(t, answer.Results, 1)
}

func TestFrozenSearcherIsHedgedRoundAndThenLeftOut(t *testing.T) {
	tier := startTier(t, fixture.Generic("w", 4, 2), fullCoverage)
	require.NoError(t, tier.cluster.SetFaults(standin.Faults{LatencyMedianUS: 500}))
	for range 40 {
		_, err := tier.executor.Execute(context.Background(), tier.query("warm", 10*time.Second))
		require.Nil(t, err)
	}
	require.NoError(t, tier.cluster.Targets[0].SetFaults(standin.Faults{Frozen: true}))
	for range 100 {
		answer, err := tier.executor.Execute(context.Background(), tier.query("q", 10*time.Second))
		require.Nil(t, err)
		require.Empty(t, answer.Coverage.Missing)
	}
}

func TestSnapshotThatGoesAwayIsReplannedWhole(t *testing.T) {
	shape := fixture.Generic("w", 4, 2)
	tier := startTier(t, shape, fullCoverage)
	tier.views.v.Store(tier.view(fullCoverage, shape.ShardMap(1), shape.ShardMap(2)))
	for i, running := range tier.cluster.Targets {
		f := standin.Faults{}
		f.Snapshots = append(f.Snapshots, 1)
		if i >= shape.Replicas {
			f.Snapshots = append(f.Snapshots, 2)
		}
		require.NoError(t, running.SetFaults(f))
	}
	answer, err := tier.executor.Execute(context.Background(), tier.query("q", 10*time.Second))
	require.Nil(t, err)
	require.EqualValues(t, 1, answer.Snapshot, "shard 0 has no replica with snapshot 2")
	require.Empty(t, answer.Coverage.Missing)
	require.Equal(t, int64(1), tier.counters()["plans_discarded{snapshot_unavailable}"])
	answer, err = tier.executor.Execute(context.Background(), tier.query("q", 10*time.Second))
	require.Nil(t, err)
	require.EqualValues(t, 1, answer.Snapshot)
	require.Equal(t, int64(1), tier.counters()["plans_discarded{snapshot_unavailable}"], "the second plan knew")
	for _, running := range tier.cluster.Targets {
		f := standin.Faults{}
		f.Snapshots = append(f.Snapshots, 2)
		require.NoError(t, running.SetFaults(f))
	}
	answer, err = tier.executor.Execute(context.Background(), tier.query("q", 10*time.Second))
	require.Nil(t, err)
	require.EqualValues(t, 2, answer.Snapshot)
}

func TestNoReplicaLeftIsFinalAtOnceWithAHint(t *testing.T) {
	tier := startTier(t, fixture.Generic("w", 2, 1), fullCoverage)
	tier.cluster.Targets[0].Close()
	_, err := tier.executor.Execute(context.Background(), tier.query("q", 300*time.Millisecond))
	require.NotNil(t, err)
	require.Positive(t, err.RetryAfter)
	require.Equal(t, verdict.Unknown, err.Verdict, "the other shard ran")
}
