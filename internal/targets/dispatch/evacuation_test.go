package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// withEvacuated returns a copy of a view in which a target is evacuated.
func withEvacuated(v *view.View, id model.TargetID) *view.View {
	next := *v
	next.Fleet = &config.Fleet{Targets: v.Fleet.Targets, EvacuatedTargets: map[model.TargetID]struct{}{id: {}}}
	return &next
}

// TestEvacuatedTargetIsRefusedUntilRestored guards against sub-requests of hosts with an
// older view, and queued ones, that are sent to an evacuated target; the one that runs
// finishes, and connections close.
func TestEvacuatedTargetIsRefusedUntilRestored(t *testing.T) {
	targets := newFakeTargets()
	started, release := make(chan string, 4), make(chan struct{})
	targets.serve = func(_ context.Context, req *subquery.Request) *subquery.Answer {
		started <- string(req.Shard)
		<-release
		return &subquery.Answer{Verdict: verdict.Ran, Snapshot: req.Snapshot, Body: []byte(req.Shard)}
	}
	before := ownView("h0", 1, 1, 25)
	views := newViews(before)
	l := newTestLocal(views, targets)
	l.Start()
	defer stopLocal(l)
	answers := make(chan *subquery.Answer, 2)
	l.Submit(subrequest("t0", "running", time.Minute), func(a *subquery.Answer) { answers <- a })
	require.Equal(t, "running", <-started)
	l.Submit(subrequest("t0", "queued", time.Minute), func(a *subquery.Answer) { answers <- a })
	views.v.Store(withEvacuated(before, "t0"))
	require.Equal(t, verdict.TargetEvacuated, submitAndWait(l, subrequest("t0", "late", time.Minute)).Reason)
	queued := <-answers
	require.Equal(t, verdict.TargetEvacuated, queued.Reason)
	require.Equal(t, verdict.NotRun, queued.Verdict)
	close(release)
	require.Equal(t, verdict.Ran, (<-answers).Verdict)
	eventually(t, func() bool {
		open, _ := targets.connections("t0")
		return open == 0
	})
	require.Empty(t, started)
	views.v.Store(before)
	eventually(t, func() bool { return submitAndWait(l, subrequest("t0", "restored", time.Minute)).Verdict == verdict.Ran })
}
