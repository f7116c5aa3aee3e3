package query

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/targets/target"
	"github.com/swiftvane/swiftvane/internal/tool/naive"
)

const (
	// differentialSeed fixes the generated cases.
	differentialSeed  = 20261203
	differentialCases = 40
	queriesPerCase    = 12
	// newestSnapshot is published while the queries of a case run.
	newestSnapshot = model.SnapshotID(3)
)

// testCase is one generated case.
type testCase struct {
	services, replicas int
	coverage           float64
	rng                *rand.Rand
	totals             *outcomes
	// notRun holds the ids of queries whose error had the verdict NotRun.
	notRun sync.Map
}

// outcomes counts the outcomes of all queries, so that the test fails if the
// generated cases no longer cause each of them.
type outcomes struct {
	whole, partial, failed, discarded atomic.Int64
}

func (o *outcomes) count(a *Answer) {
	switch {
	case a == nil:
		o.failed.Add(1)
	case len(a.Coverage.Missing) > 0:
		o.partial.Add(1)
	default:
		o.whole.Add(1)
	}
}

// partition returns the shard map of a snapshot. Snapshots have different
// partitions: shards move to other services' targets and change their ids.
func (tc *testCase) partition(shape *fixture.Shape, s model.SnapshotID) model.ShardMap {
	m := shape.ShardMap(s)
	n := len(m.Shards)
	out := model.ShardMap{Snapshot: s, Shards: make([]model.Shard, n)}
	for i := range m.Shards {
		out.Shards[i] = m.Shards[i]
		out.Shards[i].ID = model.ShardID(fmt.Sprintf("%s-v%d", m.Shards[i].ID, s))
		out.Shards[i].Replicas = m.Shards[(i+int(s))%n].Replicas
	}
	return out
}

// faults returns random faults for one target.
func (tc *testCase) faults() standin.Faults {
	f := standin.Faults{LatencyMedianUS: 200, LatencySigma: 0.5, StragglerShare: 0.05, StragglerFactor: 50}
	replyFaults := []standin.ReplyFault{
		standin.ReplySwapped, standin.ReplyRepeated, standin.ReplyShort, standin.ReplyTruncated,
		standin.ReplyCut, standin.ReplyCrossed, standin.ReplyDelayed,
	}
	switch tc.rng.IntN(8) {
	case 0, 1:
		f.Reply, f.ReplyShare, f.ReplyDelayMS = replyFaults[tc.rng.IntN(len(replyFaults))], 0.4, 20
	case 2:
		f.FailShare = 0.5
	case 3:
		f.ShedShare, f.RetryAfterMS = 0.5, 10
	case 4:
		f.WrongSnapshot = model.SnapshotID(1 + tc.rng.IntN(3))
	case 5:
		f.Leaving = tc.rng.IntN(2) == 0
		f.Health = standin.AlwaysHealthy
	case 6:
		f.Snapshots = [][]model.SnapshotID{{1}, {2}, {1, 2}, {2, 3}, {3}}[tc.rng.IntN(5)]
	}
	if f.Snapshots == nil {
		f.Snapshots = []model.SnapshotID{1, 2, 3}
	}
	return f
}

// reference answers queries with the naive implementation on targets without
// faults.
type reference struct {
	cluster *cluster.Cluster
	maps    map[model.SnapshotID]model.ShardMap
}

func newReference(t *testing.T, shape fixture.Shape, maps map[model.SnapshotID]model.ShardMap) *reference {
	c, err := cluster.Start(cluster.Options{Shapes: []fixture.Shape{shape}, Seed: 1})
	require.NoError(t, err)
	require.NoError(t, c.SetFaults(standin.Faults{Snapshots: []model.SnapshotID{1, 2, 3}}))
	return &reference{cluster: c, maps: maps}
}

// resultBodies returns the expected result of each shard of the snapshot.
func (r *reference) resultBodies(req *Request, s model.SnapshotID) map[model.ShardID]string {
	m := r.maps[s]
	index := &naive.Index{ShardMap: &m, Targets: map[model.TargetID]*model.Target{}}
	for _, running := range r.cluster.Targets {
		index.Targets[running.ID()] = &model.Target{ID: running.ID(), Addr: running.Addr(), MaxConnections: 25}
	}
	bodies := map[model.ShardID]string{}
	for _, result := range naive.Sequential(context.Background(), target.NewHTTPDialer(), index, &naive.Query{
		RequestID: req.RequestID, Workload: req.Workload, Services: req.Services, Body: req.Body,
		Deadline: time.Now().Add(time.Minute), Idempotent: true,
	}) {
		bodies[result.Shard] = string(result.Body)
	}
	return bodies
}

// check compares an answer with the reference. It returns the first problem, or
// an empty string.
func (r *reference) check(req *Request, a *Answer, coverage float64) string {
	want := r.resultBodies(req, a.Snapshot)
	if a.Coverage.Total != len(want) {
		return fmt.Sprintf("the coverage states %d shards in total, want %d", a.Coverage.Total, len(want))
	}
	if a.Coverage.Share() < coverage-1e-9 {
		return fmt.Sprintf("coverage %v is below the policy's minimum of %v", a.Coverage.Share(), coverage)
	}
	listed := map[model.ShardID]bool{}
	for _, m := range a.Coverage.Missing {
		if m.Reason == "" {
			return fmt.Sprintf("shard %s is missing without a reason", m.Shard)
		}
		listed[m.Shard] = true
	}
	if len(a.Results) != len(a.Coverage.Answered) {
		return "the number of results differs from the number of answered shards"
	}
	for i, result := range a.Results {
		body, known := want[result.Shard]
		if !known || a.Coverage.Answered[i].Shard != result.Shard || listed[result.Shard] {
			return fmt.Sprintf("shard %s is unknown, out of order or stated twice", result.Shard)
		}
		if body != string(result.Body) {
			return fmt.Sprintf("shard %s: got %s, the naive implementation has %s", result.Shard, result.Body, body)
		}
		listed[result.Shard] = true
	}
	if len(listed) != len(want) {
		return "some shards are stated neither as answered nor as missing"
	}
	return ""
}

// run sends queries to the host while faults change and a snapshot is published.
// It returns the first problem, or an empty string.
func (tc *testCase) run(t *testing.T) string {
	shape := fixture.Generic("w", tc.services, tc.replicas)
	maps := map[model.SnapshotID]model.ShardMap{}
	for s := model.SnapshotID(1); s <= newestSnapshot; s++ {
		maps[s] = tc.partition(&shape, s)
	}
	ref := newReference(t, shape, maps)
	defer ref.cluster.Close()
	policy := func(p *config.Policy) {
		p.MinCoverage, p.StragglerWaitMS, p.RetryBudget, p.HedgeBudget = tc.coverage, 20, 1, 0.5
	}
	host := startTestHost(t, shape, policy)
	defer host.stop()
	tc.randomizeFaults(t, host)
	host.views.v.Store(host.view(policy, maps[1], maps[2]))
	newest := host.view(policy, maps[1], maps[2], maps[3])
	var pending sync.WaitGroup
	problems := make(chan string, queriesPerCase)
	var requests []*Request
	for i := range queriesPerCase {
		req := host.query(fmt.Sprintf("r%d", i), 150*time.Millisecond)
		if i%3 == 0 {
			req.Services = []model.ServiceName{shape.Service(0)}
		}
		req.Idempotent = i%4 != 1
		requests = append(requests, req)
		pending.Go(func() { problems <- tc.runQuery(host, ref, req) })
		if i == queriesPerCase/2 {
			tc.randomizeFaults(t, host)
			host.views.v.Store(newest)
		}
		time.Sleep(2 * time.Millisecond)
	}
	pending.Wait()
	close(problems)
	tc.totals.discarded.Add(host.counters()["plans_discarded{snapshot_unavailable}"])
	for problem := range problems {
		if problem != "" {
			return problem
		}
	}
	return tc.checkRuns(host, requests)
}

// runQuery executes one query and returns the problem with its outcome, or an
// empty string.
func (tc *testCase) runQuery(host *testHost, ref *reference, req *Request) string {
	answer, err := host.executor.Execute(context.Background(), req)
	tc.totals.count(answer)
	if err == nil {
		return ref.check(req, answer, tc.coverage)
	}
	if err.Verdict == verdict.NotRun {
		tc.notRun.Store(req.RequestID, true)
	}
	return ""
}

// checkRuns compares the verdicts with the runs that the targets recorded. A
// query with the verdict NotRun must not have run, and a shard of a non-idempotent
// query must not have run twice.
func (tc *testCase) checkRuns(host *testHost, requests []*Request) string {
	for _, req := range requests {
		started := map[model.ShardID]int{}
		for _, run := range host.cluster.Runs(req.RequestID).Runs {
			started[run.Shard] += run.Started
			if _, isNotRun := tc.notRun.Load(req.RequestID); isNotRun && run.Started > 0 {
				return fmt.Sprintf("query %s ran but its verdict is not_run", req.RequestID)
			}
			if !req.Idempotent && started[run.Shard] > 1 {
				return fmt.Sprintf("shard %s of %s ran %d times", run.Shard, req.RequestID, started[run.Shard])
			}
		}
	}
	return ""
}

// randomizeFaults gives each target new random faults.
func (tc *testCase) randomizeFaults(t *testing.T, host *testHost) {
	for _, running := range host.cluster.Targets {
		if err := running.SetFaults(tc.faults()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAnswersMatchNaiveImplementation generates workloads, snapshots,
// repartitions and faults. The host's answer must equal the naive
// implementation's answer for the shards that its coverage states as answered.
func TestAnswersMatchNaiveImplementation(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(differentialSeed)
	parameters.MinSuccessfulTests = differentialCases
	totals := &outcomes{}
	properties := gopter.NewProperties(parameters)
	properties.Property("the answer equals the naive implementation's", prop.ForAll(
		func(services, replicas int, coverage float64, seed uint64) string {
			tc := &testCase{services: services, replicas: replicas, coverage: coverage, rng: rand.New(rand.NewPCG(seed, seed)), totals: totals}
			return tc.run(t)
		},
		gen.IntRange(1, 6), gen.IntRange(1, 3), gen.OneConstOf(0.3, 0.7, 1.0), gen.UInt64(),
	))
	properties.TestingRun(t)
	t.Logf("whole %d, partial %d, failed %d, plans discarded %d",
		totals.whole.Load(), totals.partial.Load(), totals.failed.Load(), totals.discarded.Load())
	require.Greater(t, totals.whole.Load(), int64(differentialCases))
	require.Positive(t, totals.partial.Load())
	require.Positive(t, totals.failed.Load())
	require.Positive(t, totals.discarded.Load())
}
