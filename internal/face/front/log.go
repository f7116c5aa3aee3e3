package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// linesPerSecond bounds the log lines of each message about connections that end.
const linesPerSecond = 10

// Messages about requests whose callers get no answer.
const (
	answerNotWritten  = "an answer was not written"
	requestNotServed  = "a request was read on a connection that was closing"
	inputNotProcessed = "input was discarded on a connection that was closing"
)

// logUnwritten logs an answer that could not be written to its caller.
func (c *conn) logUnwritten(r *exchange.Request, err error) {
	c.server.logBounded(answerNotWritten, logrus.Fields{
		logging.FieldRequestID: r.ID, "age_ms": time.Since(r.Arrived).Milliseconds(), logrus.ErrorKey: err,
	})
}

// logUnserved logs a request that was read after the connection had begun to close.
func (c *conn) logUnserved(j *job) {
	if j.request == nil {
		return
	}
	c.server.logBounded(requestNotServed, logrus.Fields{logging.FieldRequestID: j.request.ID})
}

// logDiscarded logs bytes that arrived while the connection was closing.
func (c *conn) logDiscarded(n int) {
	c.server.logBounded(inputNotProcessed, logrus.Fields{
		"bytes": n, "requests": c.requests, "draining": c.server.draining.Load(),
	})
}

// logBounded writes a line unless too many with the same message were written lately.
func (s *Server) logBounded(message string, fields logrus.Fields) {
	ok, omitted := s.lines.Take(message, time.Now())
	if !ok {
		return
	}
	if omitted > 0 {
		fields["lines_left_out"] = omitted
	}
	s.opts.Log.WithFields(fields).Info(message)
}
