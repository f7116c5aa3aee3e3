package query

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// testHost is one host with stand-in targets, without HTTP and peers.
type testHost struct {
	cluster  *cluster.Cluster
	shape    fixture.Shape
	views    *fixedView
	local    *dispatch.Local
	executor *Executor
	scope    tally.TestScope
}

// startTestHost starts targets of the shape and a host that owns all of them.
func startTestHost(tb testing.TB, shape fixture.Shape, policy func(*config.Policy), onCrash ...func(*subquery.Request)) *testHost {
	tb.Helper()
	c, err := cluster.Start(cluster.Options{Shapes: []fixture.Shape{shape}, Seed: 1})
	require.NoError(tb, err)
	t := &testHost{cluster: c, shape: shape, views: &fixedView{}, scope: tally.NewTestScope("", nil)}
	t.views.v.Store(t.view(policy, shape.ShardMap(fixture.FirstSnapshot)))
	log := logrus.New()
	log.SetOutput(io.Discard)
	options := dispatch.Options{Views: t.views, Dialer: target.NewHTTPDialer(), Scope: t.scope, Log: log}
	for _, f := range onCrash {
		options.OnCrash = f
	}
	t.local = dispatch.NewLocal(options)
	t.local.Start()
	router := dispatch.NewRouter(dispatch.RouterOptions{Views: t.views, Local: t.local, Scope: t.scope})
	t.executor = New(Options{Views: t.views, Dispatcher: router, Scope: t.scope, Log: log})
	tb.Cleanup(t.stop)
	return t
}

func (t *testHost) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	t.local.Stop(ctx)
	t.cluster.Close()
}

// view returns a view with these shard maps and one host that owns every target.
func (t *testHost) view(policy func(*config.Policy), maps ...model.ShardMap) *view.View {
	defaults := fixture.Defaults()
	if policy != nil {
		policy(&defaults)
	}
	v := &view.View{
		Self: model.Host{ID: "h0"},
		Fleet: &config.Fleet{
			Defaults:  defaults,
			Workloads: map[model.WorkloadName]*config.Workload{t.shape.Workload: {Idempotent: true}},
			Indexes:   map[model.WorkloadName]*model.Index{t.shape.Workload: {Snapshots: maps}},
			Targets:   map[model.TargetID]*model.Target{},
		},
		Owners: map[model.TargetID]view.Owners{},
	}
	for _, running := range t.cluster.Targets {
		id := running.ID()
		v.Fleet.Targets[id] = &model.Target{ID: id, Addr: running.Addr(), Slots: t.shape.Slots, MaxConnections: t.shape.MaxConnections}
		v.Owners[id] = view.Owners{Owner: "h0"}
	}
	return v
}

// query returns an idempotent query of all services with this time to its
// deadline.
func (t *testHost) query(id string, timeout time.Duration) *Request {
	return &Request{
		RequestID: id, Caller: "c", Workload: t.shape.Workload, Body: []byte(`{"q":"` + id + `"}`),
		Deadline: time.Now().Add(timeout), Idempotent: true,
	}
}

// counters sums the host's counters by name and reason tag.
func (t *testHost) counters() map[string]int64 {
	sums := map[string]int64{}
	for _, c := range t.scope.Snapshot().Counters() {
		name := c.Name()
		if reason := c.Tags()["reason"]; reason != "" {
			name += "{" + reason + "}"
		}
		sums[name] += c.Value()
	}
	return sums
}
