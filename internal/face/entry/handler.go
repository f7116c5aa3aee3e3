package entry

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/gofiber/fiber/v2"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
)

// call is the state of one query in the handler.
type call struct {
	id         requestid.ID
	caller     model.CallerID
	body       *callerapi.Query
	policy     config.Policy
	arrived    time.Time
	deadline   time.Time
	idempotent bool
}

func (s *Server) handleQuery(c *fiber.Ctx) error {
	arrived := time.Now()
	s.inflight.Add(1)
	defer s.inflight.Add(-1)
	s.counter.queries.Inc(1)
	defer func() { s.counter.latency.Record(time.Since(arrived)) }()

	q, refusal := s.prepare(c, arrived)
	if refusal == nil {
		refusal = s.checkReady()
	}
	if refusal == nil {
		refusal = s.checkStop(q.deadline)
	}
	if refusal != nil {
		return s.refuse(c, q, refusal)
	}
	release, refusal := s.opts.Admission.Admit(q.caller, &q.policy)
	if refusal != nil {
		return s.refuse(c, q, refusal)
	}
	defer release()
	if refusal := s.opts.Quarantine.CheckQuery(q.caller, q.body.Workload, q.body.Body); refusal != nil {
		return s.refuse(c, q, refusal)
	}

	ctx, cancel := context.WithDeadline(s.work, q.deadline)
	defer cancel()
	defer s.noteUnfinished(ctx, q)
	if !q.idempotent {
		return s.executeAtMostOnce(ctx, c, q)
	}
	answer, failure := s.opts.Executor.Execute(ctx, q.request())
	if failure != nil {
		return s.writeError(c, q.id.Value, stopError(ctx, failure))
	}
	return s.writeAnswer(c, q.id.Value, answer)
}

// refuse answers a query that was refused before its id was claimed. If the caller
// supplied the id of a non-idempotent query, an earlier attempt may have run.
func (s *Server) refuse(c *fiber.Ctx, q *call, refusal *verdict.Error) error {
	if !q.idempotent {
		refusal = claim.CallerError(q.id, refusal)
	}
	return s.writeError(c, q.id.Value, refusal)
}

// prepare decodes a query and checks it against the configuration in force. The
// returned call is never nil, and its id is set if the request could be decoded.
func (s *Server) prepare(c *fiber.Ctx, arrived time.Time) (*call, *verdict.Error) {
	q := &call{caller: callerOf(c), arrived: arrived}
	body, refusal := Decode(c.Body())
	if body != nil {
		q.id = requestid.ID{Value: body.RequestID, Minted: body.RequestID == ""}
	}
	if refusal != nil {
		return q, refusal
	}
	q.body = body
	if !utf8.ValidString(string(q.caller)) {
		// Targets and other hosts could read neither this query nor those that are sent with it.
		return q, verdict.RefuseField(verdict.BadRequest, callerapi.HeaderCaller, "the caller's name is not valid UTF-8")
	}

	fleet := s.opts.Views.Current().Fleet
	if fleet == nil {
		return q, verdict.Refuse(verdict.HostNotReady, stoppingRetryAfter, "no configuration is in force yet")
	}
	workload, ok := fleet.Workloads[body.Workload]
	if !ok {
		return q, verdict.RefuseField(verdict.UnknownWorkload, "workload", "no workload %q is published", body.Workload)
	}
	q.policy = fleet.Policy(body.Workload, soleService(body.Services), q.caller, arrived)
	if len(body.Body) > q.policy.MaxBodyBytes {
		return q, verdict.RefuseField(verdict.BodyTooLarge, "body", "%d bytes, at most %d are allowed", len(body.Body), q.policy.MaxBodyBytes)
	}
	if refusal := q.setIdempotent(workload.Idempotent); refusal != nil {
		return q, refusal
	}
	if refusal := q.setDeadline(arrived, s.opts.MaxDeadline); refusal != nil {
		return q, refusal
	}
	return q, s.setRequestID(c, q, arrived)
}

// setIdempotent lets a query be stricter than its workload, never weaker: a copied
// "idempotent": true must not allow a non-idempotent operation to be repeated.
func (q *call) setIdempotent(published bool) *verdict.Error {
	q.idempotent = published
	if q.body.Idempotent == nil {
		return nil
	}
	if *q.body.Idempotent && !published {
		return verdict.RefuseField(verdict.BadRequest, "idempotent", "workload %q must not be repeated; leave the field out", q.body.Workload)
	}
	q.idempotent = *q.body.Idempotent
	return nil
}

func (q *call) setDeadline(arrived time.Time, hostLimit time.Duration) *verdict.Error {
	limit := min(time.Duration(q.policy.DeadlineMaxMS)*time.Millisecond, hostLimit)
	wait := min(time.Duration(q.policy.DeadlineDefaultMS)*time.Millisecond, limit)
	if ms := q.body.DeadlineMS; ms != nil {
		if *ms <= 0 {
			return verdict.RefuseField(verdict.DeadlineInvalid, "deadline_ms", "%d is already past", *ms)
		}
		if *ms > limit.Milliseconds() {
			return verdict.RefuseField(verdict.DeadlineInvalid, "deadline_ms", "%d, at most %d is allowed", *ms, limit.Milliseconds())
		}
		wait = time.Duration(*ms) * time.Millisecond
	}
	q.deadline = arrived.Add(wait)
	return nil
}

func (q *call) request() *query.Request {
	return &query.Request{
		RequestID:  q.id.Value,
		Caller:     q.caller,
		Workload:   q.body.Workload,
		Services:   q.body.Services,
		Body:       q.body.Body,
		Deadline:   q.deadline,
		Idempotent: q.idempotent,
	}
}

// setRequestID checks the caller's id, or issues one if the query has none. An
// idempotent query's id needs no issue time.
func (s *Server) setRequestID(c *fiber.Ctx, q *call, arrived time.Time) *verdict.Error {
	if q.body.RequestID == "" {
		id, err := requestid.Mint()
		if err != nil {
			return verdict.Refuse(verdict.Internal, 0, "no request id could be made: %s", err)
		}
		q.id = id
		return nil
	}
	if q.idempotent {
		return nil
	}
	id, refusal := requestid.Parse(q.body.RequestID, c.Get(callerapi.HeaderIssuedAt), arrived)
	if refusal != nil {
		return refusal
	}
	q.id = id
	return nil
}

// soleService returns the only service that a query names, or "".
func soleService(services []model.ServiceName) model.ServiceName {
	if len(services) == 1 {
		return services[0]
	}
	return ""
}

func callerOf(c *fiber.Ctx) model.CallerID {
	if name := c.Get(callerapi.HeaderCaller); name != "" {
		return model.CallerID(name)
	}
	return model.CallerID(c.IP())
}
