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

// warm runs queries until every service has a latency quantile.
func warm(s *Scatterer, shards int) {
	for range 2 * latency.MinSamples {
		runQuery(s, testPlan(shards, 2, testPolicy()), true, time.Minute)
	}
}

func TestStragglerIsHedgedAndTheLoserCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stuck := model.TargetID("")
		s, d, _ := newScripted(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if req.Shard == "s0" && stuck == "" {
				return ok(req), 5 * time.Millisecond
			}
			if req.Shard == "s0" && (stuck == "first" || stuck == req.Target) {
				stuck = req.Target
				return ok(req), never
			}
			return ok(req), 5 * time.Millisecond
		})
		warm(s, 4)
		stuck = "first"
		started := time.Now()
		out := runQuery(s, testPlan(4, 2, testPolicy()), true, time.Minute)
		require.True(t, out.Enough)
		require.Equal(t, 4, out.Gathered.Merged())
		require.Equal(t, 1, out.Extra)
		require.Equal(t, []model.TargetID{stuck}, d.cancelled)
		require.Less(t, time.Since(started), 20*time.Millisecond, "virtual time: a quantile and one answer")
	})
}

func TestHedgesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := false
		s, d, scope := newScripted(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if slow {
				return ok(req), 10 * time.Second
			}
			return ok(req), 5 * time.Millisecond
		})
		warm(s, 10)
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

func TestNoHedgeWithABudgetOfZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := testPolicy()
		policy.HedgeBudget = 0
		s, d, _ := newScripted(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			return ok(req), time.Second
		})
		out := runQuery(s, testPlan(4, 2, policy), true, time.Minute)
		require.True(t, out.Enough)
		require.Len(t, d.sent, 4)
	})
}

func TestNonIdempotentIsNeverHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newScripted(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			return ok(req), 5 * time.Second
		})
		out := runQuery(s, testPlan(4, 2, testPolicy()), false, time.Minute)
		require.True(t, out.Enough)
		require.Len(t, d.sent, 4)
	})
}

func TestServiceWithFewSamplesIsHedgedByItsWorkload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newScripted(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if req.Shard == "s7" {
				return ok(req), 10 * time.Second
			}
			return ok(req), 5 * time.Millisecond
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
