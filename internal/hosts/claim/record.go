package claim

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// Record implements Claimer.
func (s *Service) Record(id requestid.ID, outcome Outcome) {
	a := s.takeAttempt(id)
	if a == nil {
		return
	}
	full, err := cbor.Marshal(&outcome)
	if err != nil {
		s.opts.Log.WithError(err).WithField("request_id", id.Value).Error("outcome cannot be encoded")
		return
	}
	outcome.Answer = nil
	brief, err := cbor.Marshal(&outcome)
	if err != nil {
		s.opts.Log.WithError(err).WithField("request_id", id.Value).Error("outcome cannot be encoded")
		return
	}
	message := &outcomeMessage{Claim: &a.claim, Outcome: full, Brief: brief}
	for _, host := range a.witnesses {
		if host == s.opts.Self.ID {
			s.submit(func(c *control) { c.witness.Record(&a.claim, full, brief, c.now()) })
			continue
		}
		if err := s.opts.Transport.Send(host, peer.KindOutcome, message); err != nil {
			s.opts.Log.WithError(err).WithField("host", host).Debug("outcome not sent")
		}
	}
}

// Release implements Claimer.
func (s *Service) Release(id requestid.ID) {
	if a := s.takeAttempt(id); a != nil {
		s.releaseAttempt(a)
	}
}

// takeAttempt removes the won attempt of an id from this host and returns it. It
// returns nil, and removes nothing, if there is none or the claim is still in
// progress.
func (s *Service) takeAttempt(id requestid.ID) *attempt {
	held, ok := s.attempts.Load(id.Value)
	if !ok {
		return nil
	}
	a, _ := held.(*attempt)
	if a == nil {
		return nil
	}
	s.attempts.Delete(id.Value)
	return a
}

// releaseAttempt releases the attempt at its witnesses; no request was or will be
// sent under it. A witness that does not receive the release holds the id until it
// expires.
func (s *Service) releaseAttempt(a *attempt) {
	s.counter.released.Inc(1)
	message := &claimMessage{Operation: operationRelease, Claim: &a.claim}
	for _, host := range a.witnesses {
		if host == s.opts.Self.ID {
			s.submit(func(c *control) { c.witness.Release(&a.claim, c.now()) })
			continue
		}
		if err := s.opts.Transport.Send(host, peer.KindClaim, message); err != nil {
			s.opts.Log.WithError(err).WithField("host", host).Debug("release not sent")
		}
	}
}
