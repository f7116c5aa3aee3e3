package edge

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// linesPerSecond bounds the log lines for each outcome but served.
	linesPerSecond = 20
	// servedLinesPerSecond bounds the log lines for requests that were served
	// completely and in time.
	servedLinesPerSecond = 1
)

// The outcomes of requests that did not fail; those of failed ones are the reasons
// of their answers.
const (
	outcomeServed  = "served"
	outcomeLate    = "late"
	outcomePartial = "partial"
)

// answerBuckets are the upper bounds of the buckets of answer times.
var answerBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond,
	80 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// observer updates the metrics for each answer and logs answers within the line
// budgets of their outcomes. It is safe for concurrent use.
type observer struct {
	log          logrus.FieldLogger
	failedBudget *logging.Budget
	servedBudget *logging.Budget
	scope        metrics.Scope
	sweep        tally.Histogram
	single       tally.Histogram
	hedges       tally.Counter
	retries      tally.Counter
	denied       tally.Counter
}

func newObserver(log logrus.FieldLogger, scope metrics.Scope) *observer {
	histogram := func(kind string) tally.Histogram {
		return scope.Tagged(map[string]string{"kind": kind}).Histogram("answer_time", answerBuckets)
	}
	return &observer{
		log: log, scope: scope,
		failedBudget: logging.NewBudget(linesPerSecond), servedBudget: logging.NewBudget(servedLinesPerSecond),
		sweep: histogram("sweep"), single: histogram("single"),
		hedges: scope.Counter("hedges"), retries: scope.Counter("retries"), denied: scope.Counter("extra_denied"),
	}
}

// Answered implements front.Observer.
func (o *observer) Answered(r *exchange.Request, a *exchange.Answer, took time.Duration) {
	outcome := outcomeOf(a)
	o.scope.Tagged(map[string]string{"outcome": outcome}).Counter("answers").Inc(1)
	if a.Trace != nil {
		o.count(a.Trace, took)
	}
	budget := o.failedBudget
	if outcome == outcomeServed {
		budget = o.servedBudget
	}
	ok, omitted := budget.Take(outcome, time.Now())
	if !ok {
		return
	}
	entry := o.log.WithFields(logFields(r, a, outcome, took, omitted))
	if outcome == outcomeServed {
		entry.Info("request")
		return
	}
	entry.Warn("request")
}

func (o *observer) count(t *exchange.Trace, took time.Duration) {
	if t.Sweep {
		o.sweep.RecordDuration(took)
	} else {
		o.single.RecordDuration(took)
	}
	o.hedges.Inc(int64(t.Hedges))
	o.retries.Inc(int64(t.Retries))
	o.denied.Inc(int64(t.Denied))
}

func outcomeOf(a *exchange.Answer) string {
	switch {
	case a.Reason != "":
		return string(a.Reason)
	case a.Trace != nil && a.Trace.Late:
		return outcomeLate
	case a.Missing > 0:
		return outcomePartial
	default:
		return outcomeServed
	}
}

func logFields(r *exchange.Request, a *exchange.Answer, outcome string, took time.Duration, omitted int) logrus.Fields {
	fields := logrus.Fields{
		logging.FieldRequestID: r.ID, "outcome": outcome, "status": a.Status,
		"took_ms": took.Milliseconds(), "patience_ms": r.CallerTimeout.Milliseconds(),
	}
	if omitted > 0 {
		fields["lines_left_out"] = omitted
	}
	if a.RetryAfter > 0 {
		fields[logging.FieldRetryAfter] = a.RetryAfter.Milliseconds()
	}
	if t := a.Trace; t != nil {
		fields["route"], fields["config_version"] = t.Route, t.ConfigVersion
		fields["store_era"], fields["store_revision"] = t.Position.Era, t.Position.Revision
		fields["objective_ms"] = t.Objective.Milliseconds()
		fields["shards"], fields["parts"] = t.Shards, t.Parts
		fields["hedges"], fields["retries"], fields["extra_denied"] = t.Hedges, t.Retries, t.Denied
		if t.Gatherer != "" {
			fields["gatherer"] = t.Gatherer
		}
		if len(t.Legs) > 0 {
			fields["legs"] = t.Legs
		}
	}
	return fields
}
