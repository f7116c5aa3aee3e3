package claim

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// voteTimeout bounds the wait for witnesses that do not answer.
	voteTimeout = time.Second
	// maxTries bounds the attempts of one claim while host lists spread.
	maxTries = 4
	// tryInterval is the wait between them.
	tryInterval = 25 * time.Millisecond
)

// attempt is one try to claim an id, and after that the claim itself.
type attempt struct {
	claim     rules.Claim
	witnesses []model.HostID
}

// ballot is the vote of one witness.
type ballot struct {
	from model.HostID
	vote rules.Vote
}

// Claim implements Claimer.
func (s *Service) Claim(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) error {
	if refusal := requestid.CheckAge(id.IssuedAt, s.opts.Clock()); refusal != nil {
		return s.refused(refusal)
	}
	// Attempts of one id on one host follow one another.
	if _, busy := s.attempts.LoadOrStore(id.Value, (*attempt)(nil)); busy {
		s.counter.duplicates.Inc(1)
		return &Duplicate{}
	}
	a, err := s.claim(ctx, id, fingerprint, deadline)
	if err != nil {
		s.attempts.Delete(id.Value)
		return err
	}
	s.attempts.Store(id.Value, a)
	s.counter.granted.Inc(1)
	return nil
}

// claim tries until an attempt wins or fails for another reason than a host list
// that has not spread yet.
func (s *Service) claim(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) (*attempt, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for try := 1; ; try++ {
		a, tally, err := s.try(ctx, id, fingerprint, deadline)
		if err == nil {
			return a, nil
		}
		if tally == nil || try == maxTries || !stale(tally) {
			return nil, err
		}
		s.counter.retries.Inc(1)
		if !s.catchUp(ctx, tally) {
			return nil, err
		}
	}
}

// try makes one attempt. A failed one is given up at its witnesses. The tally is
// nil if no witness was asked.
func (s *Service) try(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) (*attempt, *rules.Tally, error) {
	known := s.lists.Load()
	if err := s.checkReady(id, known); err != nil {
		return nil, nil, err
	}
	a := s.newAttempt(id, fingerprint, known)
	tally := rules.NewTally(known.sets(id.Value), known.known.Complete, rules.Switches{})
	a.witnesses = tally.Witnesses()
	s.collect(ctx, a, tally, deadline)
	if !tally.Won() {
		tally.GiveUp()
		s.giveUp(a)
		return nil, tally, s.lost(id, tally)
	}
	if err := s.recheck(id, known, tally, deadline); err != nil {
		tally.GiveUp()
		s.giveUp(a)
		return nil, nil, err
	}
	return a, tally, nil
}

func (s *Service) newAttempt(id requestid.ID, fingerprint uint64, known *lists) *attempt {
	return &attempt{claim: rules.Claim{
		ID:          id.Value,
		IssuedAt:    rules.At(id.IssuedAt),
		Fingerprint: fingerprint,
		Attempt:     rules.Attempt{Host: s.opts.Self.ID, Incarnation: s.opts.Incarnation, Seq: s.seq.Add(1)},
		Revisions:   known.known.Revisions,
	}}
}

// checkReady refuses to claim by host lists that may be out of date.
func (s *Service) checkReady(id requestid.ID, known *lists) error {
	switch {
	case len(known.hosts) == 0:
		return s.notRun(id, verdict.ClaimListStale, "no host list is known yet")
	case !known.fresh(s.opts.Clock()):
		return s.notRun(id, verdict.ClaimListStale, "this host was paused and is catching up with the host list")
	case !known.known.Confirmed:
		return s.notRun(id, verdict.ClaimListStale, "the host list was last confirmed more than %s ago", s.limits.ListLease)
	}
	return nil
}

// recheck refuses to act on a majority that came too late: the deadline has
// passed, or this process was paused meanwhile.
func (s *Service) recheck(id requestid.ID, before *lists, tally *rules.Tally, deadline time.Time) error {
	now := s.opts.Clock()
	if !tally.MayAct(rules.At(now), rules.At(deadline)) {
		return s.notRun(id, verdict.ClaimDeadlinePassed, "the deadline passed while the request id was claimed")
	}
	after := s.lists.Load()
	if after.pauses != before.pauses || !after.fresh(now) {
		return s.notRun(id, verdict.ClaimDeadlinePassed, "this host was paused while the request id was claimed")
	}
	return nil
}

// collect asks every witness and counts until the attempt is decided.
func (s *Service) collect(ctx context.Context, a *attempt, tally *rules.Tally, deadline time.Time) {
	ballots := make(chan ballot, len(a.witnesses))
	message := &claimMessage{Operation: operationVote, Claim: &a.claim}
	if limit := time.Now().Add(voteTimeout); limit.Before(deadline) {
		deadline = limit
	}
	for _, host := range a.witnesses {
		if host == s.opts.Self.ID {
			s.voteSelf(a, ballots)
			continue
		}
		s.opts.Transport.Go(host, peer.KindClaim, message, deadline, func(reply cbor.RawMessage, err error) {
			b := ballot{from: host}
			if err == nil && cbor.Unmarshal(reply, &b.vote) != nil {
				b.vote = rules.Vote{}
			}
			ballots <- b
		})
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for !tally.Won() && !tally.Lost() {
		select {
		case b := <-ballots:
			tally.Add(b.from, b.vote)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) voteSelf(a *attempt, ballots chan<- ballot) {
	self := s.opts.Self.ID
	vote := func(c *control) { ballots <- ballot{from: self, vote: c.vote(self, &a.claim)} }
	if !s.submit(vote) {
		ballots <- ballot{from: self}
	}
}

// catchUp fetches the history of a witness that knows more, or gives witnesses
// that know less the time to fetch ours. It reports false if ctx ended.
func (s *Service) catchUp(ctx context.Context, tally *rules.Tally) bool {
	timer := time.NewTimer(tryInterval)
	defer timer.Stop()
	if host, ok := tally.From(rules.ClaimantStale); ok && host != s.opts.Self.ID {
		fetched := make(chan struct{})
		s.fetchHistory(host, func() { close(fetched) })
		select {
		case <-fetched:
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func stale(tally *rules.Tally) bool {
	return tally.Seen(rules.ClaimantStale) || tally.Seen(rules.WitnessStale)
}
