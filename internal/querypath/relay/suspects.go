package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// suspectRun is the log message of a request that runs on one target alone, of which
// suspectLinesPerSecond are written.
const (
	suspectRun            = "request runs on one target alone, as another one crashed while it had it"
	suspectLinesPerSecond = 5
)

// suspects reports whether a target crashed while it had the request, and counts and logs it if so.
func (e *Executor) suspects(r *exchange.Request) bool {
	if !e.opts.Guard.Suspects(r) {
		return false
	}
	e.opts.Scope.Counter("suspects_run").Inc(1)
	if ok, omitted := e.suspectLines.Take(suspectRun, time.Now()); ok {
		e.opts.Log.WithFields(logrus.Fields{logging.FieldRequestID: r.ID, "lines_left_out": omitted}).Info(suspectRun)
	}
	return true
}
