package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// stopLines bounds the log lines about the requests that are in progress at the end of a stop.
const stopLines = 50

// logStopStep logs a step of the stop with what is open at that time.
func (e *Edge) logStopStep(message string, began time.Time) {
	load := e.server.Load()
	e.opts.Log.WithFields(logrus.Fields{
		"elapsed_ms": time.Since(began).Milliseconds(), "connections": load.Connections,
		"requests": len(load.Requests), "sweeps_of_others": e.gather.Active(),
	}).Info(message)
}

// logInterrupted logs the requests that are answered without a result.
func (e *Edge) logInterrupted(requests []*exchange.Request, began time.Time) {
	e.logStopStep("requests in progress are answered without a result", began)
	e.logRequests("a request is interrupted by the end of the stop", requests, began)
}

// logCutRequests logs the requests that are still in progress when the process ends.
func (e *Edge) logCutRequests(requests []*exchange.Request, began time.Time) {
	e.logRequests("a request is cut by the end of the stop", requests, began)
}

func (e *Edge) logRequests(message string, requests []*exchange.Request, began time.Time) {
	for _, r := range requests[:min(len(requests), stopLines)] {
		e.opts.Log.WithFields(logrus.Fields{
			logging.FieldRequestID: r.ID, "age_ms": time.Since(r.Arrived).Milliseconds(),
			"patience_ms": r.CallerTimeout.Milliseconds(), "arrived_after_stop_ms": r.Arrived.Sub(began).Milliseconds(),
			"requests": len(requests),
		}).Warn(message)
	}
}
