package dispatch

import (
	"context"
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// eventually waits until the condition holds. The limit is far above the time
// that it normally takes.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 30*time.Second, time.Millisecond)
}

// submitAndWait submits a sub-request and waits for its answer.
func submitAndWait(l *Local, req *subquery.Request) *subquery.Answer {
	got := make(chan *subquery.Answer, 1)
	l.Submit(req, func(a *subquery.Answer) { got <- a })
	return <-got
}

// blockUntilDone blocks until ctx is done and then fails the sub-request.
func blockUntilDone(ctx context.Context, _ *subquery.Request) *subquery.Answer {
	<-ctx.Done()
	return unknownAnswer(verdict.TargetUnreachable)
}

func TestTargetDeathDuringExchangeIsReportedAsCrash(t *testing.T) {
	targets := newFakeTargets()
	started := make(chan struct{}, 1)
	targets.serve = func(ctx context.Context, req *subquery.Request) *subquery.Answer {
		started <- struct{}{}
		return blockUntilDone(ctx, req)
	}
	l := newTestLocal(newViews(ownView("h0", 1, 2, 25)), targets)
	var crashes atomic.Int32
	l.opts.OnCrash = func(*subquery.Request) { crashes.Add(1) }
	l.Start()
	defer stopLocal(l)
	got := make(chan *subquery.Answer, 1)
	l.Submit(subrequest("t0", "s0", time.Minute), func(a *subquery.Answer) { got <- a })
	<-started
	targets.kill("t0")
	a := <-got
	require.Equal(t, verdict.TargetCrashed, a.Reason)
	require.Equal(t, verdict.Unknown, a.Verdict)
	require.Equal(t, int32(1), crashes.Load())
	require.Equal(t, verdict.TargetUnreachable, submitAndWait(l, subrequest("t0", "s0", time.Minute)).Reason)
}

// TestDialThatFailsOnThisSideIsNotReportedAsCrash covers a host that cannot open a new
// connection for a reason of its own, or of a target at its connection limit. It guards
// against requests that are quarantined although no target crashed.
func TestDialThatFailsOnThisSideIsNotReportedAsCrash(t *testing.T) {
	for _, failure := range []error{syscall.EMFILE, syscall.ENETUNREACH, syscall.EHOSTUNREACH, io.EOF} {
		targets := newFakeTargets()
		targets.dialFails = failure
		started := make(chan struct{}, 1)
		targets.serve = func(ctx context.Context, req *subquery.Request) *subquery.Answer {
			started <- struct{}{}
			return blockUntilDone(ctx, req)
		}
		// The quota leaves no control connection, which would tell a crash itself.
		l := newTestLocal(newViews(ownView("h0", 1, 1, 1)), targets)
		l.opts.OnCrash = func(*subquery.Request) { t.Errorf("a failed dial was reported as a crash: %v", failure) }
		l.Start()
		got := make(chan *subquery.Answer, 1)
		l.Submit(subrequest("t0", "s0", time.Minute), func(a *subquery.Answer) { got <- a })
		<-started
		targets.kill("t0")
		a := <-got
		require.Equal(t, verdict.Unknown, a.Verdict)
		require.NotEqual(t, verdict.TargetCrashed, a.Reason)
		stopLocal(l)
	}
}

func TestLossOfOneConnectionIsNotReportedAsCrash(t *testing.T) {
	targets := newFakeTargets()
	started := make(chan struct{}, 1)
	targets.serve = func(ctx context.Context, req *subquery.Request) *subquery.Answer {
		started <- struct{}{}
		return blockUntilDone(ctx, req)
	}
	l := newTestLocal(newViews(ownView("h0", 1, 1, 25)), targets)
	l.opts.OnCrash = func(*subquery.Request) { t.Error("the loss of one connection was reported as a crash") }
	l.Start()
	defer stopLocal(l)
	got := make(chan *subquery.Answer, 1)
	l.Submit(subrequest("t0", "s0", time.Minute), func(a *subquery.Answer) { got <- a })
	<-started
	targets.mu.Lock()
	for _, c := range targets.conns {
		if c.busy.Load() {
			c.cut()
		}
	}
	targets.mu.Unlock()
	a := <-got
	require.Equal(t, verdict.TargetUnreachable, a.Reason)
	require.Equal(t, verdict.Unknown, a.Verdict)
}

func TestLeavingTargetIsRefusedUntilProbeClearsIt(t *testing.T) {
	targets := newFakeTargets()
	targets.serve = func(_ context.Context, req *subquery.Request) *subquery.Answer {
		a := echo(req)
		a.Load.Leaving = true
		return a
	}
	targets.setLoad(subquery.Load{Leaving: true})
	l := newTestLocal(newViews(ownView("h0", 1, 2, 25)), targets)
	l.limits.IdleProbe = 5 * time.Millisecond
	leaving := make(chan model.TargetID, 1)
	l.opts.OnLeaving = func(id model.TargetID) { leaving <- id }
	l.Start()
	defer stopLocal(l)
	submitAndWait(l, subrequest("t0", "s0", time.Minute))
	require.Equal(t, model.TargetID("t0"), <-leaving)
	a := submitAndWait(l, subrequest("t0", "s1", time.Minute))
	require.Equal(t, verdict.TargetLeaving, a.Reason)
	require.Equal(t, verdict.NotRun, a.Verdict)
	targets.setLoad(subquery.Load{})
	eventually(t, func() bool { return submitAndWait(l, subrequest("t0", "s2", time.Minute)).OK() })
}

func TestImmediateRestartOfTargetIsReportedAsCrash(t *testing.T) {
	targets := newFakeTargets()
	started := make(chan struct{}, 1)
	targets.serve = func(ctx context.Context, req *subquery.Request) *subquery.Answer {
		started <- struct{}{}
		return blockUntilDone(ctx, req)
	}
	l := newTestLocal(newViews(ownView("h0", 1, 2, 25)), targets)
	l.Start()
	defer stopLocal(l)
	eventually(t, func() bool { open, _ := targets.connections("t0"); return open == 3 })
	got := make(chan *subquery.Answer, 1)
	l.Submit(subrequest("t0", "s0", time.Minute), func(a *subquery.Answer) { got <- a })
	<-started
	targets.mu.Lock()
	for _, c := range targets.conns {
		c.cut()
	}
	targets.mu.Unlock()
	require.Equal(t, verdict.TargetCrashed, (<-got).Reason)
}
