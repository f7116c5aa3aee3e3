package query

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// fixedView is a view.Source whose view is set by a test.
type fixedView struct{ v atomic.Pointer[view.View] }

func (f *fixedView) Current() *view.View { return f.v.Load() }

// dispatcherFunc adapts a function to subquery.Dispatcher.
type dispatcherFunc func(req *subquery.Request, done func(*subquery.Answer)) func()

func (f dispatcherFunc) Submit(req *subquery.Request, done func(*subquery.Answer)) func() {
	return f(req, done)
}

const sweep = model.WorkloadName("sweep")

// testView returns a view of one workload with one shard per service and two
// replicas per shard.
func testView(services int, snapshots ...model.SnapshotID) *view.View {
	f := &config.Fleet{
		Defaults: config.Policy{
			StragglerWaitMS: 60000, MinCoverage: 1, HedgeQuantile: 0.95, HedgeBudget: 0.05, RetryBudget: 0.2,
		},
		Workloads: map[model.WorkloadName]*config.Workload{sweep: {Idempotent: true}},
		Indexes:   map[model.WorkloadName]*model.Index{},
		Targets:   map[model.TargetID]*model.Target{},
	}
	index := &model.Index{}
	for _, snapshot := range snapshots {
		m := model.ShardMap{Snapshot: snapshot}
		for i := range services {
			replicas := []model.TargetID{model.TargetID(fmt.Sprintf("t%d-0", i)), model.TargetID(fmt.Sprintf("t%d-1", i))}
			m.Shards = append(m.Shards, model.Shard{
				ID: model.ShardID(fmt.Sprintf("s%d", i)), Service: model.ServiceName(fmt.Sprintf("svc%d", i)), Replicas: replicas,
			})
		}
		index.Snapshots = append(index.Snapshots, m)
	}
	f.Indexes[sweep] = index
	return &view.View{Self: model.Host{ID: "h0"}, Fleet: f, LeavingTargets: map[model.TargetID]struct{}{}}
}

func newExecutor(v *view.View, d subquery.Dispatcher) *Executor {
	views := &fixedView{}
	views.v.Store(v)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	return New(Options{Views: views, Dispatcher: d, Scope: tally.NoopScope, Log: log})
}

func request(deadline time.Duration) *Request {
	return &Request{
		RequestID: "r", Caller: "c", Workload: sweep, Body: []byte("q"),
		Deadline: time.Now().Add(deadline), Idempotent: true,
	}
}

func served(req *subquery.Request) *subquery.Answer {
	return &subquery.Answer{
		Verdict: verdict.Ran, Snapshot: req.Snapshot, Body: []byte(string(req.Shard) + "/" + string(req.Body)),
		Load: subquery.Load{Oldest: req.Snapshot, Newest: req.Snapshot},
	}
}

func TestExecuteMergesEveryShardOfOneSnapshot(t *testing.T) {
	e := newExecutor(testView(20, 1, 2), dispatcherFunc(func(req *subquery.Request, done func(*subquery.Answer)) func() {
		go done(served(req))
		return func() {}
	}))
	answer, err := e.Execute(context.Background(), request(time.Minute))
	require.Nil(t, err)
	require.Equal(t, model.SnapshotID(2), answer.Snapshot)
	require.Equal(t, verdict.Ran, answer.Verdict)
	require.Len(t, answer.Coverage.Answered, 20)
	require.Empty(t, answer.Coverage.Missing)
	for i, r := range answer.Results {
		require.Equal(t, fmt.Sprintf("s%d/q", i), string(r.Body))
	}
}

func TestExecuteRefusesUnknownWorkloadAndService(t *testing.T) {
	e := newExecutor(testView(2, 1), nil)
	r := request(time.Minute)
	r.Workload = "nope"
	_, err := e.Execute(context.Background(), r)
	require.Equal(t, verdict.UnknownWorkload, err.Reason)
	require.Equal(t, verdict.NotRun, err.Verdict)
	r = request(time.Minute)
	r.Services = []model.ServiceName{"svc0", "nope"}
	_, err = e.Execute(context.Background(), r)
	require.Equal(t, verdict.UnknownService, err.Reason)
	require.Equal(t, "services", err.Field)
}

func TestExecuteDoesNotStartAfterTheDeadline(t *testing.T) {
	e := newExecutor(testView(2, 1), dispatcherFunc(func(*subquery.Request, func(*subquery.Answer)) func() {
		t.Error("a sub-request was sent after the deadline")
		return func() {}
	}))
	_, err := e.Execute(context.Background(), request(-time.Second))
	require.Equal(t, verdict.DeadlinePassed, err.Reason)
	require.Equal(t, verdict.NotRun, err.Verdict)
}

func TestQueryWithTooManyShardsIsRefused(t *testing.T) {
	views := &fixedView{}
	views.v.Store(testView(3, 1))
	noDispatch := dispatcherFunc(func(*subquery.Request, func(*subquery.Answer)) func() {
		t.Error("a sub-request was sent")
		return func() {}
	})
	log := logrus.New()
	e := New(Options{Views: views, Dispatcher: noDispatch, MaxFanOut: 2, Scope: tally.NoopScope, Log: log})
	_, refusal := e.Execute(t.Context(), request(time.Minute))
	require.NotNil(t, refusal)
	require.Equal(t, verdict.BadRequest, refusal.Reason)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, "services", refusal.Field)
}
