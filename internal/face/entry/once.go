package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/support/wait"
)

// maxRecordedBytes bounds the size of an answer that witnesses keep for resends.
const maxRecordedBytes = 4 << 10

// outcomeRetryAfter is the Retry-After for a resend whose earlier attempt has no
// recorded outcome yet.
const outcomeRetryAfter = time.Second

const (
	// outcomeWait bounds how long a resend waits for the outcome of an earlier attempt,
	// whose answer may reach the caller before the outcome reaches the witnesses.
	outcomeWait = 500 * time.Millisecond
	// outcomePollFirst is the pause before the first further claim of such a resend; each
	// later pause is twice as long.
	outcomePollFirst = 20 * time.Millisecond
)

// executeAtMostOnce claims the query's id before anything is sent to a target,
// executes the query and records its outcome for resends.
func (s *Server) executeAtMostOnce(ctx context.Context, c *fiber.Ctx, q *call) error {
	err := s.claim(ctx, q)
	if duplicate, ok := errors.AsType[*claim.Duplicate](err); ok {
		return s.writeDuplicate(c, q.id.Value, duplicate)
	}
	if err != nil {
		return s.writeError(c, q.id.Value, stopError(ctx, toVerdictError(err)))
	}
	answer, failure := s.opts.Executor.Execute(ctx, q.request())
	if failure != nil {
		failure = stopError(ctx, failure)
		return s.writeError(c, q.id.Value, claim.Settle(s.opts.Claims, q.id, failure, outcomeOf(q.id)))
	}
	body, err := json.Marshal(answerBody(q.id.Value, answer))
	if err != nil {
		return s.writeError(c, q.id.Value, &verdict.Error{Verdict: verdict.Ran, Reason: verdict.Internal, Message: err.Error()})
	}
	outcome := claim.Outcome{Verdict: verdict.Ran, Status: fiber.StatusOK}
	if len(body) <= maxRecordedBytes {
		outcome.Answer = body
	}
	s.opts.Claims.Record(q.id, outcome)
	return s.writeAnswer(c, q.id.Value, answer)
}

// claim claims the query's id. If the id is held by an earlier attempt without an
// outcome, it claims again for at most outcomeWait and within the query's deadline.
func (s *Server) claim(ctx context.Context, q *call) error {
	until := time.Now().Add(outcomeWait)
	if q.deadline.Before(until) {
		until = q.deadline
	}
	for pause := outcomePollFirst; ; pause *= 2 {
		err := s.opts.Claims.Claim(ctx, q.id, q.fingerprint(), q.deadline)
		duplicate, ok := errors.AsType[*claim.Duplicate](err)
		if !ok || duplicate.Outcome != nil || !sleepUntil(ctx, time.Now().Add(pause), until) {
			return err
		}
	}
}

// sleepUntil waits until the given time. It returns false at once if that is after
// limit, and when ctx ends.
func sleepUntil(ctx context.Context, at, limit time.Time) bool {
	if at.After(limit) {
		return false
	}
	return wait.For(ctx, time.Until(at))
}

// outcomeOf returns a function that encodes a failure as the recorded outcome of id.
func outcomeOf(id requestid.ID) func(*verdict.Error) claim.Outcome {
	return func(failure *verdict.Error) claim.Outcome {
		outcome := claim.Outcome{Verdict: failure.Verdict, Reason: failure.Reason, Status: StatusFor(failure)}
		if body, err := json.Marshal(errorBody(id.Value, failure)); err == nil {
			outcome.Answer = body
		}
		return outcome
	}
}

// writeDuplicate answers a resend: with the recorded outcome if a witness has it,
// otherwise with verdict Unknown.
func (s *Server) writeDuplicate(c *fiber.Ctx, id string, duplicate *claim.Duplicate) error {
	s.counter.resends.Inc(1)
	outcome := duplicate.Outcome
	if outcome == nil {
		return s.writeError(c, id, &verdict.Error{
			Verdict:    verdict.Unknown,
			Reason:     verdict.RequestIDDuplicate,
			Field:      "request_id",
			Message:    "the request was sent before and its outcome is not known yet; ask again under the same id, never under another",
			RetryAfter: outcomeRetryAfter,
		})
	}
	if len(outcome.Answer) == 0 {
		return s.writeError(c, id, &verdict.Error{
			Verdict: outcome.Verdict,
			Reason:  verdict.RequestIDDuplicate,
			Field:   "request_id",
			Message: "the request was sent before; its answer was too large to keep",
		})
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(outcome.Status).Send(outcome.Answer)
}

// fingerprint returns a hash of the parts of a query that must be the same in a
// resend: caller, workload, services and body.
func (q *call) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(q.caller), string(q.body.Workload)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	for _, service := range q.body.Services {
		_, _ = digest.WriteString(string(service))
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(q.body.Body)
	return digest.Sum64()
}

func toVerdictError(err error) *verdict.Error {
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		return e
	}
	return &verdict.Error{Verdict: verdict.Unknown, Reason: verdict.Internal, Message: err.Error()}
}
