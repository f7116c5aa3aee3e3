package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// counterOf returns the value of a counter with a reason tag.
func counterOf(scope tally.TestScope, name, reason string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["reason"] == reason {
			return c.Value()
		}
	}
	return 0
}

func TestFailureIsRetriedOnOtherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, scope := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if req.Target == replica(0, 0) {
				return failedAnswer(verdict.Unknown, verdict.TargetFailed), time.Millisecond
			}
			return okAnswer(req), time.Millisecond
		})
		for range 20 {
			out := runQuery(s, testPlan(1, 2, testPolicy()), true, time.Minute)
			require.True(t, out.CoverageMet)
		}
		require.Equal(t, int64(d.sentTo(replica(0, 0))), counterOf(scope, "retries_sent", "target_failed"))
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, scope := newTestScatterer(func(*subquery.Request) (*subquery.Answer, time.Duration) {
			return failedAnswer(verdict.Unknown, verdict.TargetFailed), time.Millisecond
		})
		const queries = 100
		for range queries {
			out := runQuery(s, testPlan(10, 2, testPolicy()), true, time.Minute)
			require.False(t, out.CoverageMet)
			require.Equal(t, CoverageUnreachable, out.End)
		}
		require.LessOrEqual(t, len(d.sent)-queries*10, budgetReserve+queries)
		require.Positive(t, counterOf(scope, "retries_refused", "retry_budget_spent"))
	})
}

func TestNoRetryThatCannotFinishBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := false
		s, d, scope := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if broken {
				return failedAnswer(verdict.Unknown, verdict.TargetFailed), 50 * time.Millisecond
			}
			return okAnswer(req), 100 * time.Millisecond
		})
		for range 20 {
			runQuery(s, testPlan(1, 2, testPolicy()), true, time.Minute)
		}
		broken = true
		before := len(d.sent)
		out := runQuery(s, testPlan(1, 2, testPolicy()), true, 120*time.Millisecond)
		require.False(t, out.CoverageMet)
		require.Len(t, d.sent, before+1)
		require.Equal(t, int64(1), counterOf(scope, "retries_refused", "deadline_passed"))
	})
}

func TestNonIdempotentQueryIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	for _, c := range []struct {
		verdict verdict.Verdict
		sent    int
		final   verdict.Verdict
	}{
		{verdict.Unknown, 1, verdict.Unknown},
		{verdict.Ran, 1, verdict.Ran},
		{verdict.NotRun, 2, verdict.Ran},
	} {
		synctest.Test(t, func(t *testing.T) {
			first := true
			s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
				if first {
					first = false
					return failedAnswer(c.verdict, verdict.TargetFailed), time.Millisecond
				}
				return okAnswer(req), time.Millisecond
			})
			out := runQuery(s, testPlan(1, 2, testPolicy()), false, time.Minute)
			require.Len(t, d.sent, c.sent)
			require.Equal(t, c.final, out.Gathered.Verdict())
		})
	}
}

func TestVerdictIsUnknownWhileRetryIsOutstanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		s, _, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if first {
				first = false
				return failedAnswer(verdict.NotRun, verdict.TargetShed), time.Millisecond
			}
			return okAnswer(req), noAnswerDelay
		})
		out := runQuery(s, testPlan(1, 2, testPolicy()), false, time.Second)
		require.Equal(t, Expired, out.End)
		require.Equal(t, verdict.Unknown, out.Gathered.Verdict())
	})
}

func TestLeavingTargetsReceiveNoSubrequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			return okAnswer(req), time.Millisecond
		})
		p := testPlan(3, 2, testPolicy())
		p.View = &view.View{LeavingTargets: map[model.TargetID]struct{}{replica(0, 1): {}, replica(2, 0): {}}}
		for range 20 {
			require.True(t, runQuery(s, p, true, time.Minute).CoverageMet)
		}
		require.Zero(t, d.sentTo(replica(0, 1)))
		require.Zero(t, d.sentTo(replica(2, 0)))
		p.View.LeavingTargets[replica(0, 0)] = struct{}{}
		out := runQuery(s, p, true, time.Minute)
		require.Equal(t, CoverageUnreachable, out.End)
		require.Equal(t, verdict.NoReplica, out.Gathered.Reason(0))
	})
}

func TestShedTargetIsRetriedOnlyAfterItsHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if first {
				first = false
				a := failedAnswer(verdict.NotRun, verdict.TargetShed)
				a.RetryAfter = 300 * time.Millisecond
				return a, time.Millisecond
			}
			return okAnswer(req), time.Millisecond
		})
		out := runQuery(s, testPlan(1, 1, testPolicy()), true, time.Minute)
		require.True(t, out.CoverageMet)
		require.Len(t, d.sentAt, 2)
		require.GreaterOrEqual(t, d.sentAt[1].Sub(d.sentAt[0]), 300*time.Millisecond)
	})
}

func TestCrashingSubrequestIsSentToAtMostTwoTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(func(*subquery.Request) (*subquery.Answer, time.Duration) {
			return failedAnswer(verdict.Unknown, verdict.TargetCrashed), time.Millisecond
		})
		out := runQuery(s, testPlan(1, 4, testPolicy()), true, time.Minute)
		require.False(t, out.CoverageMet)
		require.Len(t, d.sent, maxCrashes)
	})
}

func TestRetainDropsUnpublishedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			a := okAnswer(req)
			a.Load = subquery.Load{Oldest: 1, Newest: 1}
			return a, time.Millisecond
		})
		p := testPlan(3, 2, testPolicy())
		runQuery(s, p, true, time.Minute)
		s.Retain(&config.Fleet{
			Workloads: map[model.WorkloadName]*config.Workload{"w": {}},
			Indexes:   map[model.WorkloadName]*model.Index{"w": {Snapshots: []model.ShardMap{{Shards: p.Shards[:1]}}}},
			Targets:   map[model.TargetID]*model.Target{replica(0, 0): {}},
		})
		require.Len(t, *s.targets.targets.Load(), 1)
		services := 0
		s.services.Range(func(any, any) bool { services++; return true })
		require.Equal(t, 2, services, "the remaining service and the workload as a whole")
		require.True(t, s.holdings.Holds("w", replica(1, 0), 9))
		s.Retain(&config.Fleet{})
		budgets := 0
		s.budgets.Range(func(any, any) bool { budgets++; return true })
		require.Zero(t, budgets)
	})
}
