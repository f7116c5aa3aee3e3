package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Retry-after hints for refused callers.
const (
	retryAfterOverload   = 250 * time.Millisecond
	retryAfterNoMajority = time.Second
	retryAfterFull       = 5 * time.Second
)

// countRefusal counts a refusal and returns it.
func (s *Service) countRefusal(e *verdict.Error) error {
	metrics.IncReason(s.counter.scope, "claims_refused", e.Reason)
	return e
}

// notRunError counts and returns the refusal of an attempt that has not run and
// never will.
func (s *Service) notRunError(id requestid.ID, reason verdict.Reason, format string, args ...any) error {
	return s.countRefusal(CallerError(id, verdict.Refuse(reason, retryAfterNoMajority, format, args...)))
}

// lossError returns the error for an attempt that won no majority.
func (s *Service) lossError(id requestid.ID, tally *rules.Tally) error {
	if encoded := tally.Outcome(); encoded != nil {
		outcome := &Outcome{}
		if err := cbor.Unmarshal(encoded, outcome); err != nil {
			outcome = nil
		}
		s.counter.duplicates.Inc(1)
		return &Duplicate{Outcome: outcome}
	}
	switch {
	case tally.Seen(rules.Held):
		s.counter.duplicates.Inc(1)
		return &Duplicate{}
	case tally.Seen(rules.Reused):
		return s.countRefusal(reusedError(tally))
	case tally.Seen(rules.Future):
		return s.countRefusal(verdict.RefuseField(verdict.RequestIDInvalid, requestid.FieldID,
			"issued in the future by the clock of other hosts; set the issuing clock"))
	case tally.Seen(rules.Expired):
		return s.countRefusal(&verdict.Error{Verdict: verdict.Unknown, Reason: verdict.RequestIDExpired, Field: requestid.FieldID,
			Message: "the id is too old; look up what became of the request before you send it under a new id"})
	}
	return s.noMajorityError(id, tally)
}

// reusedError returns the error for an id that was used with another request. Its
// verdict is NotRun only if a majority holds the id for that other request;
// otherwise this request may have run.
func reusedError(tally *rules.Tally) *verdict.Error {
	e := verdict.RefuseField(verdict.RequestIDReused, requestid.FieldID,
		"the id was used for a request with another caller, workload or body; give each request its own id")
	if !tally.Majority(rules.Reused) {
		e.Verdict = verdict.Unknown
	}
	return e
}

// noMajorityError returns the error for the most specific reason among the votes.
func (s *Service) noMajorityError(id requestid.ID, tally *rules.Tally) error {
	switch {
	case tally.Seen(rules.Starting):
		return s.startingError(id)
	case tally.Seen(rules.Full):
		return s.countRefusal(CallerError(id, verdict.Refuse(verdict.ClaimWitnessFull, retryAfterFull, "the witnesses of the id hold as many ids as they can")))
	case tally.Seen(rules.ClaimantStale), tally.Seen(rules.WitnessStale):
		return s.notRunError(id, verdict.ClaimListStale, "hosts are catching up with the host list")
	case !tally.Complete():
		return s.notRunError(id, verdict.ClaimWitnessChanged, "no host asked knows each host list of the last %s", s.limits.ListWindow())
	}
	return s.notRunError(id, verdict.ClaimNoMajority, "no majority of the witnesses of the id could be reached")
}

// startingError returns the error for an id that was issued before some of its
// witnesses started. Those witnesses never vote on it.
func (s *Service) startingError(id requestid.ID) error {
	if id.Minted {
		return s.countRefusal(verdict.Refuse(verdict.ClaimWitnessStarting, s.limits.ClockMargin,
			"hosts have just started; send the request again without this id"))
	}
	return s.countRefusal(&verdict.Error{Verdict: verdict.Unknown, Reason: verdict.ClaimWitnessStarting, Field: requestid.FieldID,
		Message: "the id was issued before hosts that keep it started, so it may have run; look up what became of the request before you send it under a new id"})
}
