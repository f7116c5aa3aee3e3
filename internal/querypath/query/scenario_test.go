package query

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/targets/target"
	"github.com/swiftvane/swiftvane/internal/tool/naive"
)

const (
	// scenarioTime is the length of each measured open-loop run.
	scenarioTime = 5 * time.Second
	// scenarioMedianUS is the median time of an exchange, in microseconds.
	scenarioMedianUS = 4000
)

// report holds the measurements of an open-loop run.
type report struct {
	latency  *hdrhistogram.Histogram
	ok       atomic.Int64
	failed   atomic.Int64
	refusals *hdrhistogram.Histogram
	mu       sync.Mutex
}

func (r *report) record(started time.Time, ok bool) {
	took := time.Since(started).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.ok.Add(1)
		_ = r.latency.RecordValue(took)
		return
	}
	r.failed.Add(1)
	_ = r.refusals.RecordValue(took)
}

func (r *report) quantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q*100)) / 1000
}

// openLoop starts queries at a fixed rate in queries per second, regardless of
// how many are still running.
func openLoop(rate float64, length time.Duration, run func(i int) bool) *report {
	r := &report{
		latency:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		refusals: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	var running sync.WaitGroup
	begin := time.Now()
	for i := 0; ; i++ {
		due := begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if due.Sub(begin) >= length {
			break
		}
		time.Sleep(time.Until(due))
		running.Go(func() { r.record(due, run(i)) })
	}
	running.Wait()
	return r
}

func (t *testHost) runs(deadline time.Duration) func(int) bool {
	return func(i int) bool {
		answer, err := t.executor.Execute(context.Background(), t.query(fmt.Sprint(i), deadline))
		return err == nil && answer != nil
	}
}

// naiveScatter returns a function that queries all shards at once without hedging
// on the same targets, and one that closes its connections.
func (t *testHost) naiveScatter(deadline time.Duration) (func(int) bool, func()) {
	shardMap := t.shape.ShardMap(fixture.FirstSnapshot)
	index := &naive.Index{ShardMap: &shardMap, Targets: map[model.TargetID]*model.Target{}}
	for id, tg := range t.views.Current().Fleet.Targets {
		index.Targets[id] = tg
	}
	s := naive.NewScatter(target.NewHTTPDialer(), index, 3)
	return func(i int) bool {
		results := s.Query(context.Background(), &naive.Query{
			RequestID: fmt.Sprint("n", i), Workload: t.shape.Workload, Body: []byte(fmt.Sprintf(`{"q":"%d"}`, i)),
			Deadline: time.Now().Add(deadline), Idempotent: true,
		})
		for _, r := range results {
			if r.Reason != "" {
				return false
			}
		}
		return true
	}, s.Close
}

func fullCoverage(p *config.Policy) { p.MinCoverage = 1 }

// BenchmarkScenario measures latency with stragglers, healthy targets and a frozen
// target, and goodput under overload. The first two compare with the naive
// scatter on the same targets in the same run.
func BenchmarkScenario(b *testing.B) {
	shape := fixture.DiffReview()
	b.Run("stragglers", func(b *testing.B) {
		compare(b, shape, standin.Faults{LatencyMedianUS: scenarioMedianUS, LatencySigma: 0.1, StragglerShare: 0.01, StragglerFactor: 20}, 100)
	})
	b.Run("healthy", func(b *testing.B) {
		compare(b, shape, standin.Faults{LatencyMedianUS: scenarioMedianUS, LatencySigma: 0.1}, 50)
	})
	b.Run("frozen", func(b *testing.B) { frozen(b, shape) })
	b.Run("overload", func(b *testing.B) { overload(b, shape) })
}

func compare(b *testing.B, shape fixture.Shape, faults standin.Faults, rate float64) {
	for range b.N {
		t := startTestHost(b, shape, fullCoverage)
		require.NoError(b, t.cluster.SetFaults(faults))
		naiveRun, closeNaive := t.naiveScatter(5 * time.Second)
		openLoop(rate, time.Second, naiveRun)
		n := openLoop(rate, scenarioTime, naiveRun)
		closeNaive()
		openLoop(rate, time.Second, t.runs(5*time.Second))
		before := t.counters()
		r := openLoop(rate, scenarioTime, t.runs(5*time.Second))
		after := t.counters()
		sent := after["subrequests_sent"] - before["subrequests_sent"]
		regular := (r.ok.Load() + r.failed.Load()) * int64(shape.Services)
		b.ReportMetric(n.quantile(0.5), "naive-p50-ms")
		b.ReportMetric(n.quantile(0.99), "naive-p99-ms")
		b.ReportMetric(r.quantile(0.5), "p50-ms")
		b.ReportMetric(r.quantile(0.99), "p99-ms")
		b.ReportMetric(r.quantile(0.999), "p99.9-ms")
		b.ReportMetric(r.quantile(0.99)/n.quantile(0.99), "p99-ratio")
		b.ReportMetric(r.quantile(0.5)/n.quantile(0.5), "p50-ratio")
		b.ReportMetric(100*float64(sent-regular)/float64(regular), "extra-%")
		b.ReportMetric(float64(r.failed.Load()), "failed")
	}
}

func frozen(b *testing.B, shape fixture.Shape) {
	for range b.N {
		t := startTestHost(b, shape, fullCoverage)
		require.NoError(b, t.cluster.SetFaults(standin.Faults{LatencyMedianUS: scenarioMedianUS, LatencySigma: 0.1}))
		openLoop(100, time.Second, t.runs(5*time.Second))
		baseline := openLoop(100, scenarioTime, t.runs(5*time.Second))
		require.NoError(b, t.cluster.Targets[0].SetFaults(standin.Faults{Frozen: true}))
		first := openLoop(100, time.Second, t.runs(5*time.Second))
		r := openLoop(100, scenarioTime, t.runs(5*time.Second))
		b.ReportMetric(baseline.quantile(0.999), "calm-p99.9-ms")
		b.ReportMetric(first.quantile(0.999), "first-second-p99.9-ms")
		b.ReportMetric(r.quantile(0.99), "p99-ms")
		b.ReportMetric(r.quantile(0.999), "p99.9-ms")
		b.ReportMetric(r.quantile(0.999)/baseline.quantile(0.999), "p99.9-ratio")
		b.ReportMetric(float64(first.failed.Load()+r.failed.Load()), "failed")
		b.Log(t.counters())
	}
}

// overloadMedianUS is the median time of an exchange under overload, in
// microseconds. Exchanges this long make the slots the bottleneck, not the CPU.
const overloadMedianUS = 10000

// overload offers multiples of the capacity of the targets' slots. Each shard has
// two targets of two slots.
func overload(b *testing.B, shape fixture.Shape) {
	capacity := float64(shape.Replicas*shape.Slots) / (overloadMedianUS / 1e6)
	b.Run("alternating", func(b *testing.B) { alternating(b, shape, capacity) })
	for _, share := range []float64{0.5, 0.8, 0.9, 1, 1.5, 2} {
		b.Run(fmt.Sprint(share), func(b *testing.B) {
			for range b.N {
				t := startTestHost(b, shape, fullCoverage)
				require.NoError(b, t.cluster.SetFaults(standin.Faults{LatencyMedianUS: overloadMedianUS, LatencySigma: 0.1}))
				openLoop(capacity*share/2, time.Second, t.runs(time.Second))
				r := openLoop(capacity*share, scenarioTime, t.runs(time.Second))
				b.ReportMetric(capacity*share, "offered/s")
				b.ReportMetric(float64(r.ok.Load())/scenarioTime.Seconds(), "goodput/s")
				b.ReportMetric(r.quantile(0.5), "p50-ms")
				b.ReportMetric(r.quantile(0.99), "p99-ms")
				b.ReportMetric(float64(r.refusals.ValueAtQuantile(50))/1000, "refusal-p50-ms")
				b.ReportMetric(float64(r.refusals.ValueAtQuantile(99))/1000, "refusal-p99-ms")
				b.Log(t.counters())
				t.stop()
			}
		})
	}
}

// alternating alternates between 0.9 and 2 times the capacity of the slots, so
// that other load on the machine affects both rates alike.
func alternating(b *testing.B, shape fixture.Shape, capacity float64) {
	for range b.N {
		t := startTestHost(b, shape, fullCoverage)
		require.NoError(b, t.cluster.SetFaults(standin.Faults{LatencyMedianUS: overloadMedianUS, LatencySigma: 0.1}))
		alternate(b, capacity, t.runs(time.Second))
	}
}

// alternate runs rounds at 0.9 and 2 times the capacity and reports the means.
func alternate(b *testing.B, capacity float64, run func(int) bool) {
	const rounds = 8
	openLoop(capacity*0.9, time.Second, run)
	var full, over, baseline, loaded, refusals float64
	for range rounds {
		r := openLoop(capacity*0.9, time.Second, run)
		full += float64(r.ok.Load())
		baseline += r.quantile(0.5)
		r = openLoop(capacity*2, time.Second, run)
		over += float64(r.ok.Load())
		loaded += r.quantile(0.5)
		refusals += float64(r.refusals.ValueAtQuantile(99)) / 1000
	}
	b.ReportMetric(full/rounds, "goodput-0.9/s")
	b.ReportMetric(over/rounds, "goodput-2.0/s")
	b.ReportMetric(over/full, "goodput-ratio")
	b.ReportMetric(baseline/rounds, "p50-0.9-ms")
	b.ReportMetric(loaded/rounds, "p50-2.0-ms")
	b.ReportMetric(refusals/rounds, "refusal-p99-ms")
}
