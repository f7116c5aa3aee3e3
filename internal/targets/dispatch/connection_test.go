package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

func TestSilentConnectionIsDetectedAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Millisecond)
		l := startLocal(t, targets, func(l *Local) { l.limits.IdleProbe = time.Hour })
		for _, c := range targets.conns {
			c.silent.Store(true)
		}
		a := submitAndWait(l, subrequest("t0", "s", time.Minute))
		require.Equal(t, verdict.TargetSilent, a.Reason)
		require.Equal(t, verdict.Unknown, a.Verdict)
		waitUntilServed(l, t)
	})
}

// waitUntilServed submits sub-requests until the target answers one.
func waitUntilServed(l *Local, t *testing.T) {
	t.Helper()
	for range 100 {
		if submitAndWait(l, subrequest("t0", "again", time.Minute)).OK() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the target did not answer again")
}

func TestProbeReplacesIdleSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Millisecond)
		l := startLocal(t, targets)
		for _, c := range targets.conns {
			c.silent.Store(true)
		}
		time.Sleep(2 * (defaultIdleProbe + defaultProbeTimeout))
		require.True(t, submitAndWait(l, subrequest("t0", "s", time.Minute)).OK())
	})
}

func TestFrozenTargetIsRefusedAtOnceUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Millisecond)
		l := startLocal(t, targets)
		targets.freeze("t0", true)
		require.Equal(t, verdict.TargetSilent, submitAndWait(l, subrequest("t0", "s", time.Minute)).Reason)
		a := submitAndWait(l, subrequest("t0", "s", time.Minute))
		require.Equal(t, verdict.TargetUnreachable, a.Reason)
		require.Equal(t, verdict.NotRun, a.Verdict)
		time.Sleep(10 * time.Second)
		targets.freeze("t0", false)
		waitUntilServed(l, t)
		_, peak := targets.connections("t0")
		require.LessOrEqual(t, peak, 3)
	})
}

func TestSlowExchangeIsNotEndedAsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(20 * time.Second)
		l := startLocal(t, targets)
		require.True(t, submitAndWait(l, subrequest("t0", "s", time.Minute)).OK())
	})
}

func TestFailedProbeDoesNotEndExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(20 * time.Second)
		targets.probeFails = errors.New("status 500")
		l := startLocal(t, targets)
		a := submitAndWait(l, subrequest("t0", "s", time.Minute))
		require.True(t, a.OK(), a.Reason)
	})
}

func TestWrongLoadReportEndsFewExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		targets.reportsIdle = true
		l := startLocal(t, targets)
		ended := 0
		for range 10 {
			if submitAndWait(l, subrequest("t0", "s", time.Minute)).Reason == verdict.TargetSilent {
				ended++
			}
		}
		require.LessOrEqual(t, ended, 2)
		req := subrequest("t0", "s", time.Minute)
		req.Idempotent = false
		time.Sleep(silencePeriod)
		require.True(t, submitAndWait(l, req).OK())
	})
}

func TestRecoveredTargetStartsWithFewerSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(50 * time.Millisecond)
		l := startLocal(t, targets)
		targets.kill("t0")
		require.Equal(t, verdict.TargetUnreachable, submitAndWait(l, subrequest("t0", "s", time.Minute)).Reason)
		targets.mu.Lock()
		targets.down["t0"] = false
		targets.mu.Unlock()
		waitUntilServed(l, t)
		p := (*l.pools.Load())["t0"]
		p.mu.Lock()
		require.Equal(t, 1, p.activeSlots(time.Now()))
		p.mu.Unlock()
		time.Sleep(defaultSlowStart)
		p.mu.Lock()
		require.Equal(t, 2, p.activeSlots(time.Now()))
		p.mu.Unlock()
	})
}

func TestIdleConnectionsStayOpenAndAreReplacedAfterMaxIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		startLocal(t, targets)
		open, _ := targets.connections("t0")
		require.Equal(t, 3, open)
		time.Sleep(defaultMaxIdle + 2*defaultIdleProbe)
		open, peak := targets.connections("t0")
		require.Equal(t, 3, open)
		require.Equal(t, 3, peak)
		targets.mu.Lock()
		defer targets.mu.Unlock()
		require.Greater(t, len(targets.conns), 3)
	})
}

func TestConnectionLimitHoldsWhileSeveralHostsOwnTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 8
		targets := newFakeTargets()
		targets.serve = answersAfter(5 * time.Millisecond)
		var locals []*Local
		for i := range 4 {
			l := newTestLocal(newViews(ownView(model.HostID(fmt.Sprintf("h%d", i)), 1, 4, limit)), targets)
			l.Start()
			t.Cleanup(func() { stopLocal(l) })
			locals = append(locals, l)
		}
		answers := make(chan *subquery.Answer, 400)
		for i := range 400 {
			req := subrequest("t0", fmt.Sprint(i), time.Second)
			cancel := locals[i%4].Submit(req, func(a *subquery.Answer) { answers <- a })
			if i%7 == 0 {
				cancel()
			}
			if i == 200 {
				for _, c := range targets.conns {
					c.cut()
				}
			}
			time.Sleep(time.Millisecond)
		}
		for range 400 {
			<-answers
		}
		_, peak := targets.connections("t0")
		require.LessOrEqual(t, peak, limit)
		require.Positive(t, peak)
	})
}

func TestPoolFinishesWorkAndClosesAfterOwnershipMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		views := newViews(ownView("h0", 1, 2, 25))
		l := newTestLocal(views, targets)
		l.Start()
		defer stopLocal(l)
		got := make(chan *subquery.Answer, 4)
		for range 4 {
			l.Submit(subrequest("t0", "s", time.Minute), func(a *subquery.Answer) { got <- a })
		}
		synctest.Wait()
		moved := ownView("h0", 1, 2, 25)
		moved.Owners["t0"] = view.Owners{Owner: "h1"}
		views.v.Store(moved)
		time.Sleep(2 * defaultReconcileInterval)
		require.Equal(t, verdict.NotOwner, submitAndWait(l, subrequest("t0", "new", time.Minute)).Reason)
		for range 4 {
			require.True(t, (<-got).OK())
		}
		time.Sleep(defaultGrace + 2*defaultReconcileInterval)
		synctest.Wait()
		open, _ := targets.connections("t0")
		require.Zero(t, open)
	})
}

func TestStopWaitsForSubrequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		l := newTestLocal(newViews(ownView("h0", 1, 2, 25)), targets)
		l.Start()
		got := make(chan *subquery.Answer, 6)
		for range 6 {
			l.Submit(subrequest("t0", "s", time.Minute), func(a *subquery.Answer) { got <- a })
		}
		synctest.Wait()
		stopLocal(l)
		for range 6 {
			require.True(t, (<-got).OK())
		}
		require.Equal(t, verdict.HostStopping, submitAndWait(l, subrequest("t0", "s", time.Minute)).Reason)
		open, _ := targets.connections("t0")
		require.Zero(t, open)
	})
}

func TestStaleConnectionIsReplacedAndBatchResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = func(_ context.Context, req *subquery.Request) *subquery.Answer { return echo(req) }
		l := startLocal(t, targets)
		for _, c := range targets.conns {
			c.stale.Store(true)
		}
		req := subrequest("t0", "s", time.Minute)
		req.Idempotent = false
		require.True(t, submitAndWait(l, req).OK())
	})
}

func TestTargetRecordChangeInterruptsNoSubrequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = answersAfter(time.Second)
		views := newViews(ownView("h0", 1, 2, 25))
		l := newTestLocal(views, targets)
		l.Start()
		defer stopLocal(l)
		got := make(chan *subquery.Answer, 4)
		for range 4 {
			l.Submit(subrequest("t0", "s", time.Minute), func(a *subquery.Answer) { got <- a })
		}
		synctest.Wait()
		views.v.Store(ownView("h0", 1, 3, 25))
		time.Sleep(2 * defaultReconcileInterval)
		require.True(t, submitAndWait(l, subrequest("t0", "new", time.Minute)).OK())
		for range 4 {
			require.True(t, (<-got).OK())
		}
		time.Sleep(2 * defaultReconcileInterval)
		synctest.Wait()
		open, peak := targets.connections("t0")
		require.Equal(t, 4, open)
		require.LessOrEqual(t, peak, 7)
	})
}

func TestDialBeyondQuotaIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLocal(t, newFakeTargets())
		p := (*l.pools.Load())["t0"]
		_, err := p.dial(time.Second)
		require.ErrorIs(t, err, errQuota)
	})
}

// TestUnfinishedSubrequestsAreAnsweredByStop guards against reasons that keep the asking
// host from trying another replica, and against targets that go on with the work.
func TestUnfinishedSubrequestsAreAnsweredByStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := newFakeTargets()
		targets.serve = blockUntilDone
		l := newTestLocal(newViews(ownView("h0", 1, 2, 25)), targets)
		l.Start()
		got := make(chan *subquery.Answer, 3)
		for range 3 {
			l.Submit(subrequest("t0", "s", time.Minute), func(a *subquery.Answer) { got <- a })
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		l.Stop(ctx)
		verdicts := map[verdict.Verdict]int{}
		for range 3 {
			a := <-got
			require.Equal(t, verdict.HostStopping, a.Reason)
			verdicts[a.Verdict]++
		}
		require.Equal(t, map[verdict.Verdict]int{verdict.NotRun: 1, verdict.Unknown: 2}, verdicts)
		require.Len(t, targets.cancelled, 2)
	})
}
