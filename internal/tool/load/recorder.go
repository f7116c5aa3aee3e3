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
	// histogramMaxUS is the longest latency kept, in microseconds.
	histogramMaxUS = int64(20 * time.Minute / time.Microsecond)
	// histogramDigits is the precision in decimal digits.
	histogramDigits = 3
)

type outcomeKey struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

// tally sums the outcomes of one kind of query.
type tally struct {
	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	failures *hdrhistogram.Histogram
	outcomes map[outcomeKey]int
	missing  map[verdict.Reason]int
	full     int
	shards   int
	covered  int
	extra    int
	lowest   float64
	withHint int
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
		_ = histogram.RecordValue(us) // in range, see above
		if o.RetryAfter > 0 {
			t.withHint++
		}
		return
	}
	_ = t.answers.RecordValue(us) // in range, see above
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

// recorder sums a run's samples. One goroutine uses it.
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

// report sums up the run.
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
		TotalSent: g.total,
		LateMS:    milliseconds(g.latest.Microseconds()),
		Summary:   r.all.summary(counted),
		Workloads: make(map[model.WorkloadName]Summary, len(r.byName)),
	}
	for name, t := range r.byName {
		report.Workloads[name] = t.summary(counted)
	}
	return report
}

func (t *tally) summary(took time.Duration) Summary {
	s := Summary{
		Answers:         int(t.answers.TotalCount()),
		FullAnswers:     t.full,
		Refusals:        int(t.refusals.TotalCount()),
		Failures:        int(t.failures.TotalCount()),
		RetryAfterHints: t.withHint,
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

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return milliseconds(h.ValueAtPercentile(p)) }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
		Max: milliseconds(h.Max()), Mean: h.Mean() / 1000,
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
