package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/exchange"
	"github.com/swiftvane/swiftvane/internal/logging"
)

// linesPerKind is the number of log lines a second for each outcome.
const linesPerKind = 20

// observer writes one line for each request that failed.
type observer struct {
	log    logrus.FieldLogger
	budget *logging.Budget
}

func newObserver(log logrus.FieldLogger) *observer {
	return &observer{log: log, budget: logging.NewBudget(linesPerKind)}
}

// Answered implements front.Observer.
func (o *observer) Answered(r *exchange.Request, a *exchange.Answer, took time.Duration) {
	if a.Reason == "" {
		return
	}
	ok, left := o.budget.Take(string(a.Reason), time.Now())
	if !ok {
		return
	}
	o.log.WithFields(logrus.Fields{
		logging.FieldRequestID: r.ID, "status": a.Status, logging.FieldReason: a.Reason,
		"took_ms": took.Milliseconds(), "patience_ms": r.Patience.Milliseconds(), "left_out": left,
	}).Warn("request failed")
}
