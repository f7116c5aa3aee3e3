package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

const (
	// histogramMaxUS is the longest latency recorded, in microseconds. Longer
	// ones are clamped to it.
	histogramMaxUS = int64(20 * time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits that histograms
	// keep.
	histogramDigits = 3
)

// outcomeKey groups outcomes by verdict and reason.
type outcomeKey struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

// tally accumulates the outcomes of one workload's queries, or of all queries.
// Latencies are in microseconds.
type tally struct {
	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	failures *hdrhistogram.Histogram
	outcomes map[outcomeKey]int
	missing  map[verdict.Reason]int
	// full counts the answers that cover all of their shards.
	full int
	// shards, covered and extra are sums over all answers.
	shards  int
	covered int
	extra   int
	// lowest is the lowest coverage of an answer, from 0 to 1.
	lowest float64
	// retryAfterHints counts the refusals and failures that carry a retry delay.
	retryAfterHints int
}

func newTally() *tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxUS, histogramDigits) }
	return &tally{
		answers:  histogram(),
		refusals: histogram(),
		failures: histogram(),
		outcomes: make(map[outcomeKey]int),
		missing:  make(map[verdict.Reason]int),
		lowest:   1,
	}
}

func (t *tally) add(s *sample) {
	us := min(max(s.took.Microseconds(), 1), histogramMaxUS)
	o := &s.outcome
	t.outcomes[outcomeKey{o.Verdict, o.Reason}]++
	if !o.Answered {
		histogram := t.failures
		if o.Verdict == verdict.NotRun {
			histogram = t.refusals
		}
		_ = histogram.RecordValue(us) // cannot fail: us is clamped to the range
		if o.RetryAfter > 0 {
			t.retryAfterHints++
		}
		return
	}
	_ = t.answers.RecordValue(us) // cannot fail: us is clamped to the range
	t.shards += o.Shards
	t.covered += o.Covered
	t.extra += o.Extra
	if o.Covered == o.Shards {
		t.full++
	}
	if o.Shards > 0 {
		t.lowest = min(t.lowest, float64(o.Covered)/float64(o.Shards))
	}
	for reason, n := range o.Missing {
		t.missing[reason] += n
	}
}

// recorder accumulates the samples of a run in total and per workload. It is not
// safe for concurrent use.
type recorder struct {
	run    *Run
	all    *tally
	byName map[model.WorkloadName]*tally
}

func newRecorder(run *Run) *recorder {
	r := &recorder{run: run, all: newTally(), byName: make(map[model.WorkloadName]*tally)}
	for _, share := range run.Mix {
		r.byName[share.Workload] = newTally()
	}
	return r
}

func (r *recorder) add(s *sample) {
	r.all.add(s)
	r.byName[s.share.Workload].add(s)
}

// report returns the report of a run in which queries were sent for took,
// warm-up included.
func (r *recorder) report(started time.Time, took time.Duration, g *generator) *Report {
	counted := max(took-time.Duration(r.run.Warmup), 0)
	report := &Report{
		Name:      r.run.Name,
		Run:       r.run,
		Started:   started.UTC(),
		Seconds:   counted.Seconds(),
		Offered:   g.offered,
		Sent:      g.sent,
		NotSent:   g.notSent,
		TotalSent: g.totalSent,
		LateMS:    milliseconds(g.maxDelay.Microseconds()),
		Summary:   r.all.summary(counted),
		Workloads: make(map[model.WorkloadName]Summary, len(r.byName)),
	}
	for name, t := range r.byName {
		report.Workloads[name] = t.summary(counted)
	}
	return report
}

// summary returns the totals of t; took is the time over which rates are
// computed.
func (t *tally) summary(took time.Duration) Summary {
	s := Summary{
		Answers:         int(t.answers.TotalCount()),
		FullAnswers:     t.full,
		Refusals:        int(t.refusals.TotalCount()),
		Failures:        int(t.failures.TotalCount()),
		RetryAfterHints: t.retryAfterHints,
		AnswerLatency:   percentiles(t.answers),
		RefusalLatency:  percentiles(t.refusals),
		FailureLatency:  percentiles(t.failures),
		Coverage:        Coverage{Lowest: t.lowest},
		Missing:         t.missing,
		SubRequests:     t.shards,
		ExtraRequests:   t.extra,
	}
	if took > 0 {
		s.AnswersPerSecond = float64(s.Answers) / took.Seconds()
	}
	if t.shards > 0 {
		s.Coverage.Mean = float64(t.covered) / float64(t.shards)
		s.ExtraLoad = float64(t.extra) / float64(t.shards)
	}
	if s.Answers > 0 {
		s.Coverage.FullShare = float64(t.full) / float64(s.Answers)
	}
	s.Outcomes = lo.MapToSlice(t.outcomes, func(key outcomeKey, n int) OutcomeCount {
		return OutcomeCount{Verdict: key.verdict, Reason: key.reason, Count: n}
	})
	slices.SortFunc(s.Outcomes, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Verdict, b.Verdict))
	})
	return s
}

// percentiles converts a histogram of microseconds to milliseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return milliseconds(h.ValueAtPercentile(p)) }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
		Max: milliseconds(h.Max()), Mean: h.Mean() / 1000,
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
