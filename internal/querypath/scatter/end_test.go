package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// stuckShard answers every shard but one.
func stuckShard(stuck model.ShardID) func(req *subquery.Request) (*subquery.Answer, time.Duration) {
	return func(req *subquery.Request) (*subquery.Answer, time.Duration) {
		if req.Shard == stuck {
			return okAnswer(req), noAnswerDelay
		}
		return okAnswer(req), time.Millisecond
	}
}

func TestPartialAnswerAfterStragglerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(stuckShard("s3"))
		policy := testPolicy()
		policy.StragglerWaitMS, policy.MinCoverage = 200, 0.9
		started := time.Now()
		out := runQuery(s, testPlan(10, 1, policy), true, time.Minute)
		require.Equal(t, Partial, out.End)
		require.True(t, out.CoverageMet)
		require.Equal(t, 200*time.Millisecond, time.Since(started))
		c := out.Gathered.Coverage()
		require.Len(t, c.Answered, 9)
		require.Equal(t, model.ShardID("s3"), c.Missing[0].Shard)
		require.Equal(t, verdict.StragglerSkipped, c.Missing[0].Reason)
		require.Equal(t, []model.TargetID{replica(3, 0)}, d.cancelled)
	})
}

func TestFullCoverageWaitsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScatterer(stuckShard("s3"))
		policy := testPolicy()
		policy.StragglerWaitMS = 200
		started := time.Now()
		out := runQuery(s, testPlan(10, 1, policy), true, 3*time.Second)
		require.Equal(t, Expired, out.End)
		require.False(t, out.CoverageMet)
		require.Equal(t, 3*time.Second, time.Since(started))
		require.Equal(t, verdict.DeadlinePassed, out.Gathered.Reason(3))
	})
}

func TestQueryEndsAtOnceWhenCoverageIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			if req.Shard == "s0" {
				a := failedAnswer(verdict.NotRun, verdict.TargetShed)
				a.RetryAfter = 2 * time.Minute
				return a, time.Millisecond
			}
			return okAnswer(req), 10 * time.Second
		})
		started := time.Now()
		out := runQuery(s, testPlan(4, 1, testPolicy()), true, time.Minute)
		require.Equal(t, CoverageUnreachable, out.End)
		require.Equal(t, time.Millisecond, time.Since(started))
		require.Equal(t, 2*time.Minute, out.RetryAfter)
		require.Len(t, d.cancelled, 3)
	})
}

func TestServicePolicyOverridesWorkloadPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestScatterer(stuckShard("s3"))
		policy := testPolicy()
		policy.StragglerWaitMS, policy.MinCoverage = 200, 0.8
		p := testPlan(10, 1, policy)
		strict := policy
		strict.MinCoverage = 1
		p.Services = map[model.ServiceName]*config.Policy{"svc3": &strict}
		require.Equal(t, Expired, runQuery(s, p, true, time.Second).End)
		p.Services = map[model.ServiceName]*config.Policy{"svc4": &strict}
		require.Equal(t, Partial, runQuery(s, p, true, time.Second).End)
	})
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, scope := newTestScatterer(stuckShard("s0"))
		d := s.dispatcher.(*fakeDispatcher)
		s.dispatcher = submitFunc(func(req *subquery.Request, done func(*subquery.Answer)) func() {
			d.Submit(req, done)
			return func() {}
		})
		policy := testPolicy()
		policy.MinCoverage, policy.StragglerWaitMS = 0.5, 50
		out := runQuery(s, testPlan(2, 1, policy), true, time.Minute)
		require.Equal(t, Partial, out.End)
		time.Sleep(2 * noAnswerDelay)
		require.Equal(t, 1, out.Gathered.Merged())
		require.Equal(t, int64(1), counterOf(scope, "subanswers_discarded", "late"))
	})
}
