package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Times after which a refused caller may ask again.
const (
	retryAfterOverload   = 250 * time.Millisecond
	retryAfterNoMajority = time.Second
	retryAfterFull       = 5 * time.Second
)

// refused counts a refusal and returns it.
func (s *Service) refused(e *verdict.Error) error {
	metrics.IncReason(s.counter.scope, "claims_refused", e.Reason)
	return e
}

// notRun refuses an attempt that ran nothing and never will.
func (s *Service) notRun(id requestid.ID, reason verdict.Reason, format string, args ...any) error {
	return s.refused(Truthful(id, verdict.Refuse(reason, retryAfterNoMajority, format, args...)))
}

// lost returns what a caller is told whose attempt won no majority.
func (s *Service) lost(id requestid.ID, tally *rules.Tally) error {
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
		return s.refused(reused(tally))
	case tally.Seen(rules.Future):
		return s.refused(verdict.RefuseField(verdict.RequestIDInvalid, requestid.FieldID,
			"issued in the future by the clock of other hosts; set the issuing clock"))
	case tally.Seen(rules.Expired):
		return s.refused(&verdict.Error{Verdict: verdict.Unknown, Reason: verdict.RequestIDExpired, Field: requestid.FieldID,
			Message: "the id is too old; look up what became of the request before you send it under a new id"})
	}
	return s.noMajority(id, tally)
}

// reused tells that the id was seen with another request. Only where a majority
// saw that one first can this one never have run.
func reused(tally *rules.Tally) *verdict.Error {
	e := verdict.RefuseField(verdict.RequestIDReused, requestid.FieldID,
		"the id was used for a request with another caller, workload or body; give each request its own id")
	if !tally.Majority(rules.Reused) {
		e.Verdict = verdict.Unknown
	}
	return e
}

// noMajority names the reason that the witnesses gave most to the point.
func (s *Service) noMajority(id requestid.ID, tally *rules.Tally) error {
	switch {
	case tally.Seen(rules.Starting):
		return s.starting(id)
	case tally.Seen(rules.Full):
		return s.refused(Truthful(id, verdict.Refuse(verdict.ClaimWitnessFull, retryAfterFull, "the witnesses of the id hold as many ids as they can")))
	case tally.Seen(rules.ClaimantStale), tally.Seen(rules.WitnessStale):
		return s.notRun(id, verdict.ClaimListStale, "hosts are catching up with the host list")
	case !tally.Complete():
		return s.notRun(id, verdict.ClaimWitnessChanged, "no host asked knows each host list of the last %s", s.limits.ListWindow())
	}
	return s.notRun(id, verdict.ClaimNoMajority, "no majority of the witnesses of the id could be reached")
}

// starting refuses an id that was issued before too many of its witnesses
// started. They will never vote on it.
func (s *Service) starting(id requestid.ID) error {
	if id.Minted {
		return s.refused(verdict.Refuse(verdict.ClaimWitnessStarting, s.limits.ClockMargin,
			"hosts have just started; send the request again without this id"))
	}
	return s.refused(&verdict.Error{Verdict: verdict.Unknown, Reason: verdict.ClaimWitnessStarting, Field: requestid.FieldID,
		Message: "the id was issued before hosts that keep it started, so it may have run; look up what became of the request before you send it under a new id"})
}
