package query

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/support/cputime"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/ownership"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// testFleet is a fleet of hosts in this process with one set of stand-in targets.
type testFleet struct {
	cluster   *cluster.Cluster
	shape     fixture.Shape
	views     []*fixedView
	locals    []*dispatch.Local
	meshes    []*peer.Mesh
	executors []*Executor
	scope     tally.TestScope
}

// startTestFleet starts n hosts. Direct hosts dial every target themselves;
// others send each sub-request to the host that owns its target.
func startTestFleet(tb testing.TB, shape fixture.Shape, n int, direct bool) *testFleet {
	tb.Helper()
	c, err := cluster.Start(cluster.Options{Shapes: []fixture.Shape{shape}, Seed: 1})
	require.NoError(tb, err)
	h := &testFleet{cluster: c, shape: shape, scope: tally.NewTestScope("", nil)}
	addresses := make([]atomic.Value, n)
	lookup := func(id model.HostID) (string, bool) {
		var i int
		if _, err := fmt.Sscanf(string(id), "host-%d", &i); err != nil {
			return "", false
		}
		addr, ok := addresses[i-1].Load().(string)
		return addr, ok
	}
	list := fixture.Hosts(make([]string, n)...)
	for i := range n {
		h.startHost(tb, list, i, direct, lookup)
		addresses[i].Store(h.meshes[i].Addr())
	}
	tb.Cleanup(h.stop)
	return h
}

func (h *testFleet) startHost(tb testing.TB, list *model.HostList, i int, direct bool, lookup func(model.HostID) (string, bool)) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := list.Hosts[i]
	mesh, err := peer.NewMesh(peer.Options{
		Self: self.ID, ListenAddr: "127.0.0.1:0", Keys: [][]byte{[]byte("0123456789abcdef")}, Lookup: lookup,
		Scope: tally.NoopScope, Log: log,
	})
	require.NoError(tb, err)
	views := &fixedView{}
	views.v.Store(h.view(self, list))
	local := dispatch.NewLocal(dispatch.Options{Views: views, Dialer: target.NewHTTPDialer(), Scope: h.scope, Log: log, Direct: direct})
	dispatch.RegisterHandler(mesh, local)
	require.NoError(tb, mesh.Start(context.Background()))
	local.Start()
	var d subquery.Dispatcher = local
	if !direct {
		d = dispatch.NewRouter(dispatch.RouterOptions{Views: views, Local: local, Remote: dispatch.NewRemote(mesh), Scope: h.scope})
	}
	h.views = append(h.views, views)
	h.meshes = append(h.meshes, mesh)
	h.locals = append(h.locals, local)
	h.executors = append(h.executors, New(Options{Views: views, Dispatcher: d, Scope: h.scope, Log: log}))
}

// view returns the view of self with this host list.
func (h *testFleet) view(self model.Host, list *model.HostList) *view.View {
	policy := fixture.Defaults()
	policy.MinCoverage = 1
	v := &view.View{
		Self: self, Hosts: list,
		Fleet: &config.Fleet{
			Defaults:  policy,
			Workloads: map[model.WorkloadName]*config.Workload{h.shape.Workload: {Idempotent: true}},
			Indexes:   map[model.WorkloadName]*model.Index{h.shape.Workload: {Snapshots: []model.ShardMap{h.shape.ShardMap(fixture.FirstSnapshot)}}},
			Targets:   map[model.TargetID]*model.Target{},
		},
	}
	for _, running := range h.cluster.Targets {
		v.Fleet.Targets[running.ID()] = &model.Target{
			ID: running.ID(), Addr: running.Addr(), Region: fixture.Region, Slots: h.shape.Slots, MaxConnections: h.shape.MaxConnections,
		}
	}
	v.Owners = ownership.Build(list.Hosts, v.Fleet.Targets)
	return v
}

func (h *testFleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range h.locals {
		h.locals[i].Stop(ctx)
	}
	for i := range h.meshes {
		_ = h.meshes[i].Close()
	}
	h.cluster.Close()
}

// run executes query i on one of the hosts and reports whether it was answered.
func (h *testFleet) run(i int) bool {
	answer, err := h.executors[i%len(h.executors)].Execute(context.Background(), &Request{
		RequestID: fmt.Sprint(i), Caller: "c", Workload: h.shape.Workload, Body: []byte(fmt.Sprintf(`{"q":%d}`, i)),
		Deadline: time.Now().Add(2 * time.Second), Idempotent: true,
	})
	return err == nil && answer != nil
}

func (h *testFleet) counter(name string) (sum int64) {
	for _, c := range h.scope.Snapshot().Counters() {
		if c.Name() == name {
			sum += c.Value()
		}
	}
	return sum
}

func TestQueriesReachTargetsOwnedByOtherHosts(t *testing.T) {
	h := startTestFleet(t, fixture.Generic("w", 10, 2), 4, false)
	for i := range 40 {
		answer, err := h.executors[i%4].Execute(t.Context(), &Request{
			RequestID: fmt.Sprint(i), Caller: "c", Workload: "w", Body: []byte(fmt.Sprint(i)),
			Deadline: time.Now().Add(time.Minute), Idempotent: true,
		})
		require.Nil(t, err)
		require.Len(t, answer.Results, 10)
	}
}

// TestConnectionLimitHoldsWhileHostListsDiffer gives each host a list of only
// itself, as during a partition, so that every host owns every target.
func TestConnectionLimitHoldsWhileHostListsDiffer(t *testing.T) {
	shape := fixture.Generic("w", 4, 2)
	shape.MaxConnections = 12
	h := startTestFleet(t, shape, 4, false)
	require.NoError(t, h.cluster.SetFaults(standin.Faults{LatencyMedianUS: 500}))
	list := h.views[0].Current().Hosts
	for i, views := range h.views {
		ownList := &model.HostList{Revision: 2, Hosts: list.Hosts[i : i+1]}
		views.v.Store(h.view(list.Hosts[i], ownList))
	}
	r := openLoop(200, time.Second, h.run)
	require.Positive(t, r.ok.Load())
	require.Zero(t, h.cluster.Runs("").RefusedConnections)
	require.LessOrEqual(t, h.cluster.Runs("").PeakConnections, shape.MaxConnections)
}

// BenchmarkOwnersAgainstDirect compares dispatch through owners with dispatch in
// which every host dials every target within an equal share of its connections.
func BenchmarkOwnersAgainstDirect(b *testing.B) {
	faults := standin.Faults{LatencyMedianUS: scenarioMedianUS, LatencySigma: 0.1, StragglerShare: 0.01, StragglerFactor: 20}
	for _, n := range []int{6, 12, 24} {
		for _, direct := range []bool{false, true} {
			name := map[bool]string{false: "owners", true: "direct"}[direct]
			for _, rate := range []float64{100, 300} {
				b.Run(fmt.Sprintf("%s/hosts=%d/rate=%.0f", name, n, rate), func(b *testing.B) {
					for range b.N {
						h := startTestFleet(b, fixture.DiffReview(), n, direct)
						require.NoError(b, h.cluster.SetFaults(faults))
						openLoop(rate, 2*time.Second, h.run)
						before := h.counter("subrequests_sent")
						cpu := cputime.Used()
						r := openLoop(rate, scenarioTime, h.run)
						cpu = cputime.Used() - cpu
						regular := (r.ok.Load() + r.failed.Load()) * int64(h.shape.Services)
						b.ReportMetric(r.quantile(0.5), "p50-ms")
						b.ReportMetric(r.quantile(0.99), "p99-ms")
						b.ReportMetric(r.quantile(0.999), "p99.9-ms")
						b.ReportMetric(100*float64(h.counter("subrequests_sent")-before-regular)/float64(regular), "extra-%")
						b.ReportMetric(float64(h.cluster.Runs("").PeakConnections), "peak-connections")
						b.ReportMetric(float64(cpu.Microseconds())/float64(regular), "cpu-µs/subrequest")
						b.ReportMetric(float64(r.failed.Load()), "failed")
						h.stop()
					}
				})
			}
		}
	}
}

// BenchmarkFleetOverload alternates between 0.9 and 2 times the capacity of the
// targets' slots, spread over six hosts that share the targets.
func BenchmarkFleetOverload(b *testing.B) {
	shape := fixture.DiffReview()
	capacity := float64(shape.Replicas*shape.Slots) / (overloadMedianUS / 1e6)
	for range b.N {
		h := startTestFleet(b, shape, 6, false)
		require.NoError(b, h.cluster.SetFaults(standin.Faults{LatencyMedianUS: overloadMedianUS, LatencySigma: 0.1}))
		alternate(b, capacity, h.run)
		h.stop()
	}
}
