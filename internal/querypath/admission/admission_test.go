package admission

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func testPolicy() *config.Policy {
	return &config.Policy{CallerRate: 10, CallerBurst: 5, CallerInflight: 100}
}

func TestRateLimitAffectsOnlyTheFloodingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{Scope: tally.NoopScope})
		for i := range 100 {
			release, err := c.Admit("flood", testPolicy())
			if i < 5 {
				require.Nil(t, err)
				release()
				continue
			}
			require.Equal(t, verdict.CallerRateLimited, err.Reason)
			require.Equal(t, verdict.NotRun, err.Verdict)
			require.Equal(t, 100*time.Millisecond, err.RetryAfter)
		}
		_, err := c.Admit("other", testPolicy())
		require.Nil(t, err)
		time.Sleep(100 * time.Millisecond)
		_, err = c.Admit("flood", testPolicy())
		require.Nil(t, err, "a query after the Retry-After time is admitted")
	})
}

func TestQueryAboveCallerInflightLimitIsRefused(t *testing.T) {
	c := New(Options{Scope: tally.NoopScope})
	policy := &config.Policy{CallerRate: 1000, CallerBurst: 1000, CallerInflight: 2}
	release, err := c.Admit("a", policy)
	require.Nil(t, err)
	_, err = c.Admit("a", policy)
	require.Nil(t, err)
	_, err = c.Admit("a", policy)
	require.Equal(t, verdict.CallerInflightLimit, err.Reason)
	require.Positive(t, err.RetryAfter)
	release()
	_, err = c.Admit("a", policy)
	require.Nil(t, err)
}

func TestCallerStatesAreBoundedAndBusyCallersAreKept(t *testing.T) {
	c := New(Options{Scope: tally.NoopScope, MaxCallers: 2 * shardCount, MaxInflight: 1 << 20})
	admitted := 0
	for i := range 1000 {
		if _, err := c.Admit(model.CallerID(fmt.Sprint(i)), testPolicy()); err == nil {
			admitted++
		} else {
			require.Equal(t, verdict.HostOverloaded, err.Reason)
		}
	}
	require.LessOrEqual(t, admitted, 2*shardCount)
	for i := range 1000 {
		if release, err := c.Admit(model.CallerID(fmt.Sprint("late", i)), testPolicy()); err == nil {
			release()
		}
	}
	total := 0
	for _, sh := range c.shards {
		total += len(sh.callers)
	}
	require.LessOrEqual(t, total, 2*shardCount)
}

func TestSaturatedHostAdmitsCallersBelowTheirShare(t *testing.T) {
	c := New(Options{Scope: tally.NoopScope, MaxInflight: 80})
	policy := &config.Policy{CallerRate: 1e6, CallerBurst: 1e6, CallerInflight: 1e6}
	for range 200 {
		_, _ = c.Admit("flood", policy)
	}
	_, err := c.Admit("flood", policy)
	require.Equal(t, verdict.HostOverloaded, err.Reason)
	for range 5 {
		_, err := c.Admit("small", policy)
		require.Nil(t, err)
	}
}

// runQueries runs rounds of concurrent queries, each of which observes the load o.
func runQueries(l *Limiter, caller model.CallerID, rounds int, o Observed) {
	for range rounds {
		var leaves []func(*Observed)
		for range 64 {
			if leave, err := l.Enter("w", caller); err == nil {
				leaves = append(leaves, leave)
			}
		}
		time.Sleep(limitInterval + time.Millisecond)
		for _, leave := range leaves {
			leave(&o)
		}
	}
}

func limitOf(l *Limiter) float64 {
	found, _ := l.workloads.Load(model.WorkloadName("w"))
	return found.(*workloadLimit).limit
}

func TestStandingQueueLowersLimitUntilItClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter()
		runQueries(l, "a", 10, Observed{Waited: time.Millisecond, Took: 10 * time.Millisecond})
		require.Equal(t, float64(maxLimit), limitOf(l))
		runQueries(l, "a", 40, Observed{Waited: time.Second, Took: 10 * time.Millisecond})
		low := limitOf(l)
		require.Less(t, low, 20.0)
		require.GreaterOrEqual(t, low, float64(minLimit))
		runQueries(l, "a", 40, Observed{Waited: time.Millisecond, Took: 10 * time.Millisecond})
		require.Greater(t, limitOf(l), 2*low)
	})
}

func TestLimitedWorkloadStaysFairAmongCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter()
		runQueries(l, "flood", 40, Observed{Waited: time.Second, Took: 10 * time.Millisecond})
		for range 100 {
			_, _ = l.Enter("w", "flood")
		}
		_, err := l.Enter("w", "flood")
		require.Equal(t, verdict.HostOverloaded, err.Reason)
		require.Equal(t, verdict.NotRun, err.Verdict)
		_, err = l.Enter("w", "small")
		require.Nil(t, err)
	})
}
