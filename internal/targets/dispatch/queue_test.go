package dispatch

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/withdrawal"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// answersAfter returns a function that answers a sub-request after d, unless its
// context ends first.
func answersAfter(d time.Duration) func(context.Context, *subquery.Request) *subquery.Answer {
	return func(ctx context.Context, req *subquery.Request) *subquery.Answer {
		select {
		case <-time.After(d):
			return echo(req)
		case <-ctx.Done():
			return unknownAnswer(verdict.Cancelled)
		}
	}
}

// startLocal starts a Local with one target of two slots.
func startLocal(t *testing.T, targets *fakeTargets, options ...func(*Local)) *Local {
	t.Helper()
	l := newTestLocal(newViews(ownView("h0", 1, 2, 25)), targets)
	for _, option := range options {
		option(l)
	}
	l.Start()
	t.Cleanup(func() { stopLocal(l) })
	synctest.Wait()
	return l
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		l := startLocal(t, targets, func(l *Local) { l.limits.QueuePerSlot = 3 })
		answers := make(chan *subquery.Answer, 20)
		for i := range 20 {
			l.Submit(subrequest("t0", fmt.Sprint(i), time.Minute), func(a *subquery.Answer) { answers <- a })
			synctest.Wait()
		}
		require.Len(t, answers, 20-2-2*3)
		for range 20 - 2 - 2*3 {
			a := <-answers
			require.Equal(t, verdict.QueueFull, a.Reason)
			require.Equal(t, verdict.NotRun, a.Verdict)
		}
	})
}

func TestPredictedWaitPastDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(100 * time.Millisecond)
		l := startLocal(t, targets)
		require.True(t, submitAndWait(l, subrequest("t0", "first", time.Minute)).OK())
		for i := range 10 {
			l.Submit(subrequest("t0", fmt.Sprint(i), time.Minute), func(*subquery.Answer) {})
		}
		synctest.Wait()
		before := time.Now()
		a := submitAndWait(l, subrequest("t0", "late", 300*time.Millisecond))
		require.Equal(t, verdict.PredictedWait, a.Reason)
		require.Equal(t, verdict.NotRun, a.Verdict)
		require.Positive(t, a.RetryAfter)
		require.Equal(t, before, time.Now(), "virtual time: refused at once")
	})
}

func TestQueuedSubrequestPastDeadlineIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		l := startLocal(t, targets)
		for i := range 2 {
			l.Submit(subrequest("t0", fmt.Sprint(i), time.Minute), func(*subquery.Answer) {})
		}
		synctest.Wait()
		a := submitAndWait(l, subrequest("t0", "late", 300*time.Millisecond))
		require.Equal(t, verdict.DeadlinePassed, a.Reason)
		require.Equal(t, verdict.NotRun, a.Verdict)
		require.Len(t, targets.batches, 2)
	})
}

func TestCancelledQueuedSubrequestDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		l := startLocal(t, targets)
		for i := range 2 {
			l.Submit(subrequest("t0", fmt.Sprint(i), time.Minute), func(*subquery.Answer) {})
		}
		synctest.Wait()
		got := make(chan *subquery.Answer, 1)
		cancel := l.Submit(subrequest("t0", "queued", time.Minute), func(a *subquery.Answer) { got <- a })
		cancel()
		cancel()
		a := <-got
		require.Equal(t, verdict.Cancelled, a.Reason)
		require.Equal(t, verdict.NotRun, a.Verdict)
		time.Sleep(5 * time.Second)
		require.Len(t, targets.batches, 2)
	})
}

func TestCancelOfRunningSubrequestIsSentToTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Minute)
		l := startLocal(t, targets)
		got := make(chan *subquery.Answer, 1)
		cancel := l.Submit(subrequest("t0", "s", time.Hour), func(a *subquery.Answer) { got <- a })
		synctest.Wait()
		cancel()
		a := <-got
		require.Equal(t, verdict.Cancelled, a.Reason)
		require.Equal(t, verdict.Unknown, a.Verdict)
		synctest.Wait()
		require.Len(t, targets.cancelled, 1)
	})
}

func TestShortIdempotentSubrequestsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(100 * time.Microsecond)
		l := startLocal(t, targets)
		submitAndWait(l, subrequest("t0", "first", time.Minute))
		answers := make(chan [2]string, 100)
		for i := range 100 {
			shard := fmt.Sprint(i)
			req := subrequest("t0", shard, time.Minute)
			req.Idempotent = i%10 != 0
			l.Submit(req, func(a *subquery.Answer) { answers <- [2]string{shard, string(a.Body)} })
		}
		for range 100 {
			got := <-answers
			require.Equal(t, got[0], got[1])
		}
		require.Less(t, len(targets.batches), 60)
		for _, size := range targets.batches {
			require.LessOrEqual(t, size, l.limits.MaxBatch)
		}
	})
}

func TestLongSubrequestsAreNotBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(10 * time.Millisecond)
		l := startLocal(t, targets)
		submitAndWait(l, subrequest("t0", "first", time.Minute))
		answers := make(chan *subquery.Answer, 20)
		for i := range 20 {
			l.Submit(subrequest("t0", fmt.Sprint(i), time.Minute), func(a *subquery.Answer) { answers <- a })
		}
		for range 20 {
			<-answers
		}
		require.Len(t, targets.batches, 21)
	})
}

func TestShedHintIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		shedding := true
		targets.serve = func(_ context.Context, req *subquery.Request) *subquery.Answer {
			if shedding {
				return notRunAnswer(verdict.TargetShed, 400*time.Millisecond)
			}
			return echo(req)
		}
		l := startLocal(t, targets)
		require.Equal(t, verdict.TargetShed, submitAndWait(l, subrequest("t0", "s", time.Minute)).Reason)
		shedding = false
		time.Sleep(300 * time.Millisecond)
		a := submitAndWait(l, subrequest("t0", "s", time.Minute))
		require.Equal(t, verdict.TargetShed, a.Reason)
		require.Equal(t, 100*time.Millisecond, a.RetryAfter)
		require.Len(t, targets.batches, 1)
		time.Sleep(100 * time.Millisecond)
		require.True(t, submitAndWait(l, subrequest("t0", "s", time.Minute)).OK())
	})
}

// TestHugeShedHintEnds guards against a target that is out of use for good by one hint.
func TestHugeShedHintEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		shedding := true
		targets.serve = func(_ context.Context, req *subquery.Request) *subquery.Answer {
			if shedding {
				return notRunAnswer(verdict.TargetShed, math.MaxInt64)
			}
			return echo(req)
		}
		l := startLocal(t, targets)
		require.Equal(t, verdict.TargetShed, submitAndWait(l, subrequest("t0", "s", time.Minute)).Reason)
		shedding = false
		time.Sleep(withdrawal.MaxPause)
		require.True(t, submitAndWait(l, subrequest("t0", "s", time.Minute)).OK())
	})
}

func TestExpiredSubrequestsAreDroppedAfterProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Minute)
		l := startLocal(t, targets)
		got := make(chan *subquery.Answer, 3)
		for range 3 {
			l.Submit(subrequest("t0", "s", 10*time.Second), func(a *subquery.Answer) { got <- a })
		}
		synctest.Wait()
		time.Sleep(10 * time.Second)
		l.dropExpiredAfterPause()
		a := <-got
		require.Equal(t, verdict.DeadlinePassed, a.Reason)
		require.Equal(t, verdict.NotRun, a.Verdict)
	})
}
