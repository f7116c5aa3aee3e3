package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/support/latency"
)

// warmUp runs queries until every service has enough samples for a latency
// quantile.
func warmUp(s *Scatterer, shards int) {
	for range 2 * latency.MinSamples {
		runQuery(s, testPlan(shards, 2, testPolicy()), true, time.Minute)
	}
}

func TestStragglerIsHedgedAndSlowerAttemptIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stuck := model.TargetID("")
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if req.Shard == "s0" && stuck == "" {
				return okAnswer(req), 5 * time.Millisecond
			}
			if req.Shard == "s0" && (stuck == "first" || stuck == req.Target) {
				stuck = req.Target
				return okAnswer(req), noAnswerDelay
			}
			return okAnswer(req), 5 * time.Millisecond
		})
		warmUp(s, 4)
		stuck = "first"
		started := time.Now()
		out := runQuery(s, testPlan(4, 2, testPolicy()), true, time.Minute)
		require.True(t, out.CoverageMet)
		require.Equal(t, 4, out.Gathered.Merged())
		require.Equal(t, 1, out.Extra)
		require.Equal(t, []model.TargetID{stuck}, d.cancelled)
		require.Less(t, time.Since(started), 20*time.Millisecond, "virtual time: the hedge delay and one answer")
	})
}

func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := false
		s, d, scope := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if slow {
				return okAnswer(req), 10 * time.Second
			}
			return okAnswer(req), 5 * time.Millisecond
		})
		warmUp(s, 10)
		slow = true
		before := len(d.sent)
		const queries = 40
		for range queries {
			runQuery(s, testPlan(10, 2, testPolicy()), true, time.Second)
		}
		extra := len(d.sent) - before - queries*10
		require.Positive(t, extra)
		require.LessOrEqual(t, extra, budgetCapacity+queries*10/20)
		require.Positive(t, counterOf(scope, "hedges_refused", "hedge_budget_spent"))
	})
}

func TestZeroHedgeBudgetSendsNoHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := testPolicy()
		policy.HedgeBudget = 0
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			return okAnswer(req), time.Second
		})
		out := runQuery(s, testPlan(4, 2, policy), true, time.Minute)
		require.True(t, out.CoverageMet)
		require.Len(t, d.sent, 4)
	})
}

func TestNonIdempotentQueryIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			return okAnswer(req), 5 * time.Second
		})
		out := runQuery(s, testPlan(4, 2, testPolicy()), false, time.Minute)
		require.True(t, out.CoverageMet)
		require.Len(t, d.sent, 4)
	})
}

func TestServiceWithFewSamplesUsesWorkloadHedgeDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if req.Shard == "s7" {
				return okAnswer(req), 10 * time.Second
			}
			return okAnswer(req), 5 * time.Millisecond
		})
		for range 8 {
			runQuery(s, testPlan(7, 2, testPolicy()), true, time.Minute)
		}
		runQuery(s, testPlan(8, 2, testPolicy()), true, time.Minute)
		last := len(d.sent) - 1
		require.Equal(t, model.ShardID("s7"), d.sent[last].Shard)
		require.Less(t, d.sentAt[last].Sub(d.sentAt[last-1]), defaultHedgeDelay, "virtual time")
	})
}
