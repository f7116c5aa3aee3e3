package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// cutRequestLines bounds the log lines about requests that the end of a stop cuts.
const cutRequestLines = 50

// logStopStep logs a step of the stop with what is open at that time.
func (e *Edge) logStopStep(message string, began time.Time) {
	load := e.server.Load()
	e.opts.Log.WithFields(logrus.Fields{
		"elapsed_ms": time.Since(began).Milliseconds(), "connections": load.Connections,
		"requests": len(load.Requests), "sweeps_of_others": e.gather.Active(),
	}).Info(message)
}

// logCutRequests logs the requests that are still in progress when the process ends.
func (e *Edge) logCutRequests(requests []*exchange.Request, began time.Time) {
	for i, r := range requests {
		if i == cutRequestLines {
			e.opts.Log.WithField("lines_left_out", len(requests)-i).Warn("requests are cut by the end of the stop")
			return
		}
		e.opts.Log.WithFields(logrus.Fields{
			logging.FieldRequestID: r.ID, "age_ms": time.Since(r.Arrived).Milliseconds(),
			"patience_ms": r.CallerTimeout.Milliseconds(), "arrived_after_stop_ms": r.Arrived.Sub(began).Milliseconds(),
		}).Warn("a request is cut by the end of the stop")
	}
}
