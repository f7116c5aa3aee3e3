package gather

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func newGatherer(shards int) (*Gatherer, tally.TestScope) {
	scope := tally.NewTestScope("", nil)
	return New(7, make([]model.Shard, shards), NewCounters(scope)), scope
}

func answered(s model.SnapshotID) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Ran, Snapshot: s, Body: []byte("x")}
}

func failure(v verdict.Verdict, r verdict.Reason) *subquery.Answer {
	return &subquery.Answer{Verdict: v, Reason: r}
}

func TestCoverageCountsOnlyMergedAnswers(t *testing.T) {
	g, _ := newGatherer(3)
	for i := range 3 {
		g.Sent(i)
	}
	require.Equal(t, Merged, g.Add(0, answered(7)))
	require.Equal(t, WrongSnapshot, g.Add(1, answered(6)))
	c := g.Coverage()
	require.Len(t, c.Answered, 1)
	require.Len(t, c.Missing, 2)
	require.Equal(t, verdict.SnapshotMismatch, c.Missing[0].Reason)
	require.Equal(t, verdict.StragglerSkipped, c.Missing[1].Reason)
	require.Len(t, g.Results(), 1)
	require.InDelta(t, 1.0/3, c.Share(), 1e-9)
}

func TestDiscardedAnswersAreCountedByReason(t *testing.T) {
	g, scope := newGatherer(2)
	for range 3 {
		g.Sent(0)
	}
	require.Equal(t, WrongSnapshot, g.Add(0, answered(8)))
	require.Equal(t, Merged, g.Add(0, answered(7)))
	require.Equal(t, Duplicate, g.Add(0, answered(7)))
	g.Close()
	g.Sent(1)
	require.Equal(t, Late, g.Add(1, answered(7)))
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["reason"]] = c.Value()
	}
	require.Equal(t, map[string]int64{"late": 1, "duplicate": 1, "snapshot_mismatch": 1}, counts)
	require.Equal(t, 1, g.Merged())
}

func TestVerdictCombinesAllShards(t *testing.T) {
	for name, c := range map[string]struct {
		answers []*subquery.Answer
		want    verdict.Verdict
	}{
		"never sent":            {nil, verdict.NotRun},
		"all refused":           {[]*subquery.Answer{failure(verdict.NotRun, verdict.TargetShed), failure(verdict.NotRun, verdict.QueueFull)}, verdict.NotRun},
		"one without answer":    {[]*subquery.Answer{answered(7)}, verdict.Unknown},
		"one ran, one refused":  {[]*subquery.Answer{answered(7), failure(verdict.NotRun, verdict.TargetShed)}, verdict.Unknown},
		"all ran":               {[]*subquery.Answer{answered(7), answered(7)}, verdict.Ran},
		"ran on wrong snapshot": {[]*subquery.Answer{answered(7), answered(6)}, verdict.Ran},
		"one unknown":           {[]*subquery.Answer{failure(verdict.Unknown, verdict.TargetSilent), failure(verdict.NotRun, verdict.QueueFull)}, verdict.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newGatherer(2)
			if c.answers != nil {
				g.Sent(0)
				g.Sent(1)
			}
			for i, a := range c.answers {
				g.Add(i, a)
			}
			require.Equal(t, c.want, g.Verdict())
		})
	}
}

func TestUnknownVerdictPersistsAfterRefusedRetry(t *testing.T) {
	g, _ := newGatherer(1)
	g.Sent(0)
	g.Add(0, failure(verdict.Unknown, verdict.TargetSilent))
	g.Sent(0)
	g.Add(0, failure(verdict.NotRun, verdict.TargetShed))
	require.Equal(t, verdict.Unknown, g.Verdict())
}
