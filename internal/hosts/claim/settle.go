package claim

import (
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// Truthful returns what a caller may be told about a non-idempotent request that
// failed before it was claimed, or whose claim was released.
//
// A verdict speaks of the request, not of one attempt to send it. A refusal that
// depends on the moment, such as a rate limit, says nothing about an earlier
// attempt under the same id, whose answer may have been lost. So for an id that
// came from the caller it becomes Unknown, and the caller sends the same id
// again. An id that this process has just made has no other attempt.
func Truthful(id requestid.ID, failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun || failure.RetryAfter == 0 || rules.MayTellNotRun(id.Minted, rules.Switches{}) {
		return failure
	}
	told := *failure
	told.Verdict = verdict.Unknown
	told.Message += "; this attempt ran nothing, an earlier one under the same id may have: send the same id again"
	return &told
}

// Settle ends a claimed attempt that failed and returns what to tell its caller.
// A request that was certainly not run, and may succeed later, gives its claim
// up: a resend of the same id may run. Any other failure is final for the id:
// encode makes the outcome that resends get.
func Settle(c Claimer, id requestid.ID, failure *verdict.Error, encode func(*verdict.Error) Outcome) *verdict.Error {
	if failure.Verdict == verdict.NotRun && failure.RetryAfter > 0 {
		c.Release(id)
		return Truthful(id, failure)
	}
	c.Record(id, encode(failure))
	return failure
}
