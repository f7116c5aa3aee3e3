package claim

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// handleClaim passes a claim message to the control goroutine.
func (s *Service) handleClaim(in *peer.Inbound) {
	var m claimMessage
	if err := cbor.Unmarshal(in.Payload, &m); err != nil {
		refuse(in, verdict.RefuseField(verdict.BadRequest, "claim", "not a claim message: %s", err))
		return
	}
	if m.Operation != operationHistory && m.Claim == nil {
		refuse(in, verdict.RefuseField(verdict.BadRequest, "claim", "the claim is missing"))
		return
	}
	if !s.submit(func(c *control) { c.answer(in, &m) }) {
		refuse(in, verdict.Refuse(verdict.HostOverloaded, retryAfterOverload, "too many claims are waiting"))
	}
}

func (c *control) answer(in *peer.Inbound, m *claimMessage) {
	switch m.Operation {
	case operationVote:
		vote := c.vote(in.From, m.Claim)
		reply(in, &vote)
	case operationRelease:
		c.witness.Release(m.Claim, c.now())
		reply(in, true)
	case operationHistory:
		reply(in, c.history.Share(c.now()))
	default:
		refuse(in, verdict.RefuseField(verdict.BadRequest, "operation", "unknown operation %d", m.Operation))
	}
}

// vote votes on a claim, and fetches the claimant's history if the claimant has a
// newer host list or the list lease of this host has expired.
func (c *control) vote(from model.HostID, claim *rules.Claim) rules.Vote {
	now := c.now()
	vote := c.witness.Vote(claim, c.history.Status(now), now)
	c.s.counter.vote(vote.Answer)
	if vote.Answer == rules.WitnessStale && from != c.s.opts.Self.ID {
		c.s.fetchHistory(from, func() {})
	}
	return vote
}

// handleOutcome passes a recorded outcome to the control goroutine. If the queue
// is full, this witness drops the outcome; resends get Unknown if every witness
// does.
func (s *Service) handleOutcome(in *peer.Inbound) {
	var m outcomeMessage
	if err := cbor.Unmarshal(in.Payload, &m); err != nil || m.Claim == nil {
		s.opts.Log.WithError(err).WithField("from", in.From).Warn("dropped a malformed outcome")
		return
	}
	s.submit(func(c *control) { c.witness.Record(m.Claim, m.Outcome, m.Brief, c.now()) })
}

func reply(in *peer.Inbound, v any) {
	if in.Reply != nil {
		in.Reply(v)
	}
}

func refuse(in *peer.Inbound, e *verdict.Error) { reply(in, e) }
