package claim

import (
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// CallerError returns the error to report to the caller of a non-idempotent request
// that failed before it was claimed, or whose claim was released.
//
// A verdict applies to the request, not to one attempt to send it. A temporary
// refusal, such as a rate limit, does not rule out that an earlier attempt under
// the same id ran and its answer was lost. For an id that came from the caller,
// the verdict of such a refusal becomes Unknown, and the caller resends with the
// same id. An id that this process has just generated has no earlier attempt.
func CallerError(id requestid.ID, failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 || rules.MayReportNotRun(id.Minted, rules.DisabledRules{}) {
		return failure
	}
	adjusted := *failure
	adjusted.Verdict = verdict.Unknown
	adjusted.Message += "; this attempt ran nothing, an earlier one under the same id may have: send the same id again"
	return &adjusted
}

// Settle ends a claimed attempt that failed and returns the error to report to its
// caller. If the request has certainly not run and may succeed later, its claim is
// released and a resend of the same id may run. Any other failure is final for the
// id: it is recorded as the outcome that encode returns, and resends receive it.
func Settle(c Claimer, id requestid.ID, failure *verdict.Error, encode func(*verdict.Error) Outcome) *verdict.Error {
	if failure.Verdict == verdict.NotRun && failure.RetryAfter > 0 {
		c.Release(id)
		return CallerError(id, failure)
	}
	c.Record(id, encode(failure))
	return failure
}
