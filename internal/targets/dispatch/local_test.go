package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func TestMain(m *testing.M) {
	// fasthttp keeps these goroutines for the life of the process, or for some
	// seconds after the stand-in targets' server has stopped.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func stopLocal(l *Local) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l.Stop(ctx)
}

func TestLocalAnswersEachSubrequestWithItsOwnResult(t *testing.T) {
	l := newTestLocal(newViews(ownView("h0", 3, 2, 25)), newFakeTargets())
	l.Start()
	defer stopLocal(l)
	answers := make(chan [2]string, 90)
	for i := range 90 {
		shard := fmt.Sprintf("s%d", i)
		req := subrequest(model.TargetID(fmt.Sprintf("t%d", i%3)), shard, time.Minute)
		l.Submit(req, func(a *subquery.Answer) { answers <- [2]string{shard, string(a.Body)} })
	}
	for range 90 {
		got := <-answers
		require.Equal(t, got[0], got[1])
	}
}

func TestLocalRefusesTargetsOfOtherHosts(t *testing.T) {
	v := ownView("h0", 1, 2, 25)
	v.Self.ID = "h9"
	l := newTestLocal(newViews(v), newFakeTargets())
	l.Start()
	defer stopLocal(l)
	got := make(chan *subquery.Answer, 1)
	l.Submit(subrequest("t0", "s0", time.Minute), func(a *subquery.Answer) { got <- a })
	a := <-got
	require.Equal(t, verdict.NotOwner, a.Reason)
	require.Equal(t, verdict.NotRun, a.Verdict)
}
