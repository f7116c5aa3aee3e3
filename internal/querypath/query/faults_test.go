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

func TestCrashingQueryCrashesAtMostTwoTargets(t *testing.T) {
	var crashes atomic.Int32
	host := startTestHost(t, fixture.Generic("w", 1, 4), nil, func(*subquery.Request) { crashes.Add(1) })
	require.NoError(t, host.cluster.SetFaults(standin.Faults{CrashBody: "poison", RestartMS: 500}))
	req := host.query("poison", 10*time.Second)
	_, err := host.executor.Execute(context.Background(), req)
	require.Equal(t, verdict.TargetCrashed, err.Reason)
	require.Equal(t, verdict.Unknown, err.Verdict)
	require.Equal(t, 2, host.cluster.Runs("").Crashes)
	require.Equal(t, int32(2), crashes.Load())
	answer, err := host.executor.Execute(context.Background(), host.query("fine", 10*time.Second))
	require.Nil(t, err)
	require.Len(t, answer.Results, 1)
}

func TestQueriesCompleteWhileOneTargetIsFrozen(t *testing.T) {
	host := startTestHost(t, fixture.Generic("w", 4, 2), fullCoverage)
	require.NoError(t, host.cluster.SetFaults(standin.Faults{LatencyMedianUS: 500}))
	for range 40 {
		_, err := host.executor.Execute(context.Background(), host.query("warm", 10*time.Second))
		require.Nil(t, err)
	}
	require.NoError(t, host.cluster.Targets[0].SetFaults(standin.Faults{Frozen: true}))
	for range 100 {
		answer, err := host.executor.Execute(context.Background(), host.query("q", 10*time.Second))
		require.Nil(t, err)
		require.Empty(t, answer.Coverage.Missing)
	}
}

func TestQueryIsReplannedWhenItsSnapshotIsUnavailable(t *testing.T) {
	shape := fixture.Generic("w", 4, 2)
	host := startTestHost(t, shape, fullCoverage)
	host.views.v.Store(host.view(fullCoverage, shape.ShardMap(1), shape.ShardMap(2)))
	for i, running := range host.cluster.Targets {
		f := standin.Faults{}
		f.Snapshots = append(f.Snapshots, 1)
		if i >= shape.Replicas {
			f.Snapshots = append(f.Snapshots, 2)
		}
		require.NoError(t, running.SetFaults(f))
	}
	answer, err := host.executor.Execute(context.Background(), host.query("q", 10*time.Second))
	require.Nil(t, err)
	require.EqualValues(t, 1, answer.Snapshot, "shard 0 has no replica with snapshot 2")
	require.Empty(t, answer.Coverage.Missing)
	require.Equal(t, int64(1), host.counters()["plans_discarded{snapshot_unavailable}"])
	answer, err = host.executor.Execute(context.Background(), host.query("q", 10*time.Second))
	require.Nil(t, err)
	require.EqualValues(t, 1, answer.Snapshot)
	require.Equal(t, int64(1), host.counters()["plans_discarded{snapshot_unavailable}"], "the second query avoids the snapshot without a discarded plan")
	for _, running := range host.cluster.Targets {
		f := standin.Faults{}
		f.Snapshots = append(f.Snapshots, 2)
		require.NoError(t, running.SetFaults(f))
	}
	answer, err = host.executor.Execute(context.Background(), host.query("q", 10*time.Second))
	require.Nil(t, err)
	require.EqualValues(t, 2, answer.Snapshot)
}

func TestQueryWithoutReachableReplicaFailsWithRetryHint(t *testing.T) {
	host := startTestHost(t, fixture.Generic("w", 2, 1), fullCoverage)
	host.cluster.Targets[0].Close()
	_, err := host.executor.Execute(context.Background(), host.query("q", 300*time.Millisecond))
	require.NotNil(t, err)
	require.Positive(t, err.RetryAfter)
	require.Equal(t, verdict.Unknown, err.Verdict, "the other shard ran")
}
