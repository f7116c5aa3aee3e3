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

// world is one generated case.
type world struct {
	services, replicas int
	coverage           float64
	rng                *rand.Rand
	seen               *outcomes
	// notRun holds the ids of queries that were said not to have run.
	notRun sync.Map
}

// outcomes counts what became of the queries of all cases, so that the test
// notices when its cases no longer bring about what it is for.
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
// partitions: shards move to other services' targets and change their names.
func (w *world) partition(shape *fixture.Shape, s model.SnapshotID) model.ShardMap {
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

// faults returns what a target does wrong.
func (w *world) faults() standin.Faults {
	f := standin.Faults{LatencyMedianUS: 200, LatencySigma: 0.5, StragglerShare: 0.05, StragglerFactor: 50}
	damages := []standin.ReplyFault{
		standin.ReplySwapped, standin.ReplyRepeated, standin.ReplyShort, standin.ReplyTruncated,
		standin.ReplyCut, standin.ReplyCrossed, standin.ReplyDelayed,
	}
	switch w.rng.IntN(8) {
	case 0, 1:
		f.Reply, f.ReplyShare, f.ReplyDelayMS = damages[w.rng.IntN(len(damages))], 0.4, 20
	case 2:
		f.FailShare = 0.5
	case 3:
		f.ShedShare, f.RetryAfterMS = 0.5, 10
	case 4:
		f.WrongSnapshot = model.SnapshotID(1 + w.rng.IntN(3))
	case 5:
		f.Leaving = w.rng.IntN(2) == 0
		f.Health = standin.AlwaysHealthy
	case 6:
		f.Snapshots = [][]model.SnapshotID{{1}, {2}, {1, 2}, {2, 3}, {3}}[w.rng.IntN(5)]
	}
	if f.Snapshots == nil {
		f.Snapshots = []model.SnapshotID{1, 2, 3}
	}
	return f
}

// reference answers queries by the naive version on targets without faults.
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

func (r *reference) ask(req *Request, s model.SnapshotID) map[model.ShardID]string {
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

// check returns what is wrong with an answer, empty for nothing.
func (r *reference) check(req *Request, a *Answer, coverage float64) string {
	want := r.ask(req, a.Snapshot)
	if a.Coverage.Total != len(want) {
		return fmt.Sprintf("claims %d shards in all, there are %d", a.Coverage.Total, len(want))
	}
	if a.Coverage.Share() < coverage-1e-9 {
		return fmt.Sprintf("covers %v, the policy asks for %v", a.Coverage.Share(), coverage)
	}
	stated := map[model.ShardID]bool{}
	for _, m := range a.Coverage.Missing {
		if m.Reason == "" {
			return fmt.Sprintf("shard %s is missing without a reason", m.Shard)
		}
		stated[m.Shard] = true
	}
	if len(a.Results) != len(a.Coverage.Answered) {
		return "the results are not those that the coverage states"
	}
	for i, result := range a.Results {
		body, known := want[result.Shard]
		if !known || a.Coverage.Answered[i].Shard != result.Shard || stated[result.Shard] {
			return fmt.Sprintf("shard %s is stated wrongly", result.Shard)
		}
		if body != string(result.Body) {
			return fmt.Sprintf("shard %s: have %s, the naive version has %s", result.Shard, result.Body, body)
		}
		stated[result.Shard] = true
	}
	if len(stated) != len(want) {
		return "some shards are neither answered nor missing"
	}
	return ""
}

// run asks the tier while faults change and a snapshot is published. It returns
// the first thing wrong.
func (w *world) run(t *testing.T) string {
	shape := fixture.Generic("w", w.services, w.replicas)
	maps := map[model.SnapshotID]model.ShardMap{}
	for s := model.SnapshotID(1); s <= newestSnapshot; s++ {
		maps[s] = w.partition(&shape, s)
	}
	ref := newReference(t, shape, maps)
	defer ref.cluster.Close()
	policy := func(p *config.Policy) {
		p.MinCoverage, p.StragglerWaitMS, p.RetryBudget, p.HedgeBudget = w.coverage, 20, 1, 0.5
	}
	tier := startTier(t, shape, policy)
	defer tier.stop()
	w.disturb(t, tier)
	tier.views.v.Store(tier.view(policy, maps[1], maps[2]))
	newest := tier.view(policy, maps[1], maps[2], maps[3])
	var asked sync.WaitGroup
	wrong := make(chan string, queriesPerCase)
	var requests []*Request
	for i := range queriesPerCase {
		req := tier.query(fmt.Sprintf("r%d", i), 150*time.Millisecond)
		if i%3 == 0 {
			req.Services = []model.ServiceName{shape.Service(0)}
		}
		req.Idempotent = i%4 != 1
		requests = append(requests, req)
		asked.Go(func() { wrong <- w.one(tier, ref, req) })
		if i == queriesPerCase/2 {
			w.disturb(t, tier)
			tier.views.v.Store(newest)
		}
		time.Sleep(2 * time.Millisecond)
	}
	asked.Wait()
	close(wrong)
	w.seen.discarded.Add(tier.counters()["plans_discarded{snapshot_unavailable}"])
	for problem := range wrong {
		if problem != "" {
			return problem
		}
	}
	return w.checkRuns(tier, requests)
}

// one asks one query and returns what is wrong with its outcome.
func (w *world) one(tier *tier, ref *reference, req *Request) string {
	answer, err := tier.executor.Execute(context.Background(), req)
	w.seen.count(answer)
	if err == nil {
		return ref.check(req, answer, w.coverage)
	}
	if err.Verdict == verdict.NotRun {
		w.notRun.Store(req.RequestID, true)
	}
	return ""
}

// checkRuns returns what is wrong with the runs that the targets saw: one of a
// query that was said not to have run, or two of one that must not repeat.
func (w *world) checkRuns(tier *tier, requests []*Request) string {
	for _, req := range requests {
		started := map[model.ShardID]int{}
		for _, run := range tier.cluster.Runs(req.RequestID).Runs {
			started[run.Shard] += run.Started
			if _, told := w.notRun.Load(req.RequestID); told && run.Started > 0 {
				return fmt.Sprintf("query %s ran and was said not to have", req.RequestID)
			}
			if !req.Idempotent && started[run.Shard] > 1 {
				return fmt.Sprintf("shard %s of %s ran %d times", run.Shard, req.RequestID, started[run.Shard])
			}
		}
	}
	return ""
}

// disturb gives each target new faults.
func (w *world) disturb(t *testing.T, tier *tier) {
	for _, running := range tier.cluster.Targets {
		if err := running.SetFaults(w.faults()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAnswersEqualTheNaiveVersion generates workloads, snapshots, repartitions
// and faults. What the tier answers must equal the naive version's answer for
// the coverage that it claims.
func TestAnswersEqualTheNaiveVersion(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(differentialSeed)
	parameters.MinSuccessfulTests = differentialCases
	seen := &outcomes{}
	properties := gopter.NewProperties(parameters)
	properties.Property("the tier's answer is the naive version's", prop.ForAll(
		func(services, replicas int, coverage float64, seed uint64) string {
			w := &world{services: services, replicas: replicas, coverage: coverage, rng: rand.New(rand.NewPCG(seed, seed)), seen: seen}
			return w.run(t)
		},
		gen.IntRange(1, 6), gen.IntRange(1, 3), gen.OneConstOf(0.3, 0.7, 1.0), gen.UInt64(),
	))
	properties.TestingRun(t)
	t.Logf("whole %d, partial %d, failed %d, plans discarded %d",
		seen.whole.Load(), seen.partial.Load(), seen.failed.Load(), seen.discarded.Load())
	require.Greater(t, seen.whole.Load(), int64(differentialCases))
	require.Positive(t, seen.partial.Load())
	require.Positive(t, seen.failed.Load())
	require.Positive(t, seen.discarded.Load())
}
