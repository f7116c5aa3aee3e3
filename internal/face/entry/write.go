package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/gofiber/fiber/v2"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

func (s *Server) writeAnswer(c *fiber.Ctx, id string, answer *query.Answer) error {
	s.counter.answered.Inc(1)
	body := answerBody(id, answer)
	if len(body.Coverage.Missing) > 0 {
		s.counter.partial.Inc(1)
	}
	s.closeIfDraining(c)
	return c.JSON(body)
}

// writeError writes the final answer to a request that was refused or failed,
// counts it by reason and logs one line.
func (s *Server) writeError(c *fiber.Ctx, id string, e *verdict.Error) error {
	metrics.IncReason(s.counter.scope, "queries_failed", e.Reason)
	s.opts.Log.WithFields(logrus.Fields{
		"request_id": id,
		"caller":     callerOf(c),
		"verdict":    e.Verdict.String(),
		"reason":     e.Reason,
		"field":      e.Field,
	}).Info(e.Message)
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
	}
	s.closeIfDraining(c)
	return c.Status(StatusFor(e)).JSON(errorBody(id, e))
}

func (s *Server) closeIfDraining(c *fiber.Ctx) {
	if s.draining.Load() {
		c.Context().SetConnectionClose()
	}
}

// retryAfterSeconds rounds up, since the Retry-After header has whole seconds only.
func retryAfterSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func errorBody(id string, e *verdict.Error) callerapi.Error {
	return callerapi.Error{
		RequestID:    id,
		Verdict:      e.Verdict,
		Reason:       e.Reason,
		Field:        e.Field,
		Message:      e.Message,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

func answerBody(id string, answer *query.Answer) callerapi.Answer {
	body := callerapi.Answer{
		RequestID: id,
		Snapshot:  answer.Snapshot,
		Coverage: callerapi.Coverage{
			Shards:   answer.Coverage.Total,
			Answered: len(answer.Coverage.Answered),
			Missing:  make([]callerapi.Missing, 0, len(answer.Coverage.Missing)),
		},
		Results:          make([]callerapi.Result, 0, len(answer.Results)),
		ExtraSubrequests: answer.ExtraSubrequests,
	}
	for _, m := range answer.Coverage.Missing {
		body.Coverage.Missing = append(body.Coverage.Missing, callerapi.Missing{Shard: m.Shard, Service: m.Service, Reason: m.Reason})
	}
	for _, r := range answer.Results {
		result := callerapi.Result{Shard: r.Shard, Service: r.Service}
		if json.Valid(r.Body) {
			result.Body = r.Body
		} else {
			result.BodyBase64 = r.Body
		}
		body.Results = append(body.Results, result)
	}
	return body
}
