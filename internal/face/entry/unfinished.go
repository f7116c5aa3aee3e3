package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// errStopping is the cause that ends the work on queries which a stopping host can't
// finish.
var errStopping = errors.New("entry: the host is stopping")

// stopLinesPerSecond bounds the log lines about such queries.
const stopLinesPerSecond = 50

// AnswerUnfinished ends the work on the queries in flight. A query that has enough
// results is answered with them, any other with host_stopping and a verdict that says
// whether it may have run. AnswerUnfinished does not wait for the answers.
func (s *Server) AnswerUnfinished() { s.endWork(errStopping) }

// Unfinished returns the number of queries whose work AnswerUnfinished has ended.
func (s *Server) Unfinished() int64 { return s.unfinished.Load() }

// endedByStop reports whether AnswerUnfinished ended the work with this context.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// stopError returns the error for a query that failed with the given one: its reason is
// HostStopping if the stop ended its work, and its verdict stays. Failures that have
// another cause are returned as they are.
func stopError(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if !endedByStop(ctx) || failure.Reason != verdict.Cancelled && failure.Reason != verdict.ClaimNoMajority {
		return failure
	}
	return &verdict.Error{
		Verdict:    failure.Verdict,
		Reason:     verdict.HostStopping,
		RetryAfter: stoppingRetryAfter,
		Message:    "this host stopped before the query was finished: " + failure.Message,
	}
}

// noteUnfinished counts and logs a query if the stop ended its work.
func (s *Server) noteUnfinished(ctx context.Context, q *call) {
	if !endedByStop(ctx) {
		return
	}
	s.unfinished.Add(1)
	now := time.Now()
	allowed, suppressed := s.stopLines.Take("", now)
	if !allowed {
		return
	}
	s.opts.Log.WithFields(logrus.Fields{
		"request_id": q.id.Value,
		"age_ms":     now.Sub(q.arrived).Milliseconds(),
		"left_ms":    q.deadline.Sub(now).Milliseconds(),
		"suppressed": suppressed,
	}).Warn("query answered before its end: the host is stopping")
}
