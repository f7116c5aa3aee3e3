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
	// voteTimeout bounds the wait for the votes of the witnesses.
	voteTimeout = time.Second
	// maxAttempts bounds the attempts of one claim while hosts have different host
	// lists.
	maxAttempts = 4
	// retryInterval is the wait between two attempts.
	retryInterval = 25 * time.Millisecond
)

// attempt is one attempt to claim an id. After it has won, it is the claim.
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
		return s.countRefusal(refusal)
	}
	// Only one attempt at a time may claim an id on this host.
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

// claim makes attempts until one wins or fails for another reason than a stale
// host list, at most maxAttempts.
func (s *Service) claim(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) (*attempt, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for try := 1; ; try++ {
		a, tally, err := s.tryOnce(ctx, id, fingerprint, deadline)
		if err == nil {
			return a, nil
		}
		if tally == nil || try == maxAttempts || !hasStaleVote(tally) {
			return nil, err
		}
		s.counter.retries.Inc(1)
		if !s.catchUp(ctx, tally) {
			return nil, err
		}
	}
}

// tryOnce makes one attempt. A failed attempt is released at its witnesses. The
// tally is nil if another attempt would not help: no vote was requested, or
// the attempt won and failed the recheck.
func (s *Service) tryOnce(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) (*attempt, *rules.Tally, error) {
	snapshot := s.lists.Load()
	if err := s.checkReady(id, snapshot); err != nil {
		return nil, nil, err
	}
	a := s.newAttempt(id, fingerprint, snapshot)
	tally := rules.NewTally(snapshot.sets(id.Value), snapshot.status.Complete, rules.DisabledRules{})
	a.witnesses = tally.Witnesses()
	s.collect(ctx, a, tally, deadline)
	if !tally.Won() {
		tally.Abandon()
		s.releaseAttempt(a)
		return nil, tally, s.lossError(id, tally)
	}
	if err := s.recheck(id, snapshot, tally, deadline); err != nil {
		tally.Abandon()
		s.releaseAttempt(a)
		return nil, nil, err
	}
	return a, tally, nil
}

func (s *Service) newAttempt(id requestid.ID, fingerprint uint64, snapshot *listSnapshot) *attempt {
	return &attempt{claim: rules.Claim{
		ID:          id.Value,
		IssuedAt:    rules.At(id.IssuedAt),
		Fingerprint: fingerprint,
		Attempt:     rules.Attempt{Host: s.opts.Self.ID, Incarnation: s.opts.Incarnation, Seq: s.seq.Add(1)},
		Revisions:   snapshot.status.Revisions,
	}}
}

// checkReady returns an error if the host lists of this host may be out of date.
func (s *Service) checkReady(id requestid.ID, snapshot *listSnapshot) error {
	switch {
	case len(snapshot.hosts) == 0:
		return s.notRunError(id, verdict.ClaimListStale, "no host list is known yet")
	case !snapshot.fresh(s.opts.Clock()):
		return s.notRunError(id, verdict.ClaimListStale, "this host was paused and is catching up with the host list")
	case !snapshot.status.Confirmed:
		return s.notRunError(id, verdict.ClaimListStale, "the host list was last confirmed more than %s ago", s.limits.ListLease)
	}
	return nil
}

// recheck returns an error if a majority came too late: the deadline has passed,
// or this process was paused in the meantime.
func (s *Service) recheck(id requestid.ID, before *listSnapshot, tally *rules.Tally, deadline time.Time) error {
	now := s.opts.Clock()
	if !tally.MayAct(rules.At(now), rules.At(deadline)) {
		return s.notRunError(id, verdict.ClaimDeadlinePassed, "the deadline passed while the request id was claimed")
	}
	after := s.lists.Load()
	if after.pauses != before.pauses || !after.fresh(now) {
		return s.notRunError(id, verdict.ClaimDeadlinePassed, "this host was paused while the request id was claimed")
	}
	return nil
}

// collect requests a vote from every witness and counts votes until the attempt is
// won or lost, the deadline or voteTimeout passes, or ctx ends.
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

// catchUp waits until the next attempt may succeed. It fetches the history of a
// witness that has lists which this host lacks; witnesses that lack lists use
// retryInterval to fetch the history of this host. It reports false if ctx ended.
func (s *Service) catchUp(ctx context.Context, tally *rules.Tally) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	if host, ok := tally.WitnessWith(rules.ClaimantStale); ok && host != s.opts.Self.ID {
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

func hasStaleVote(tally *rules.Tally) bool {
	return tally.Seen(rules.ClaimantStale) || tally.Seen(rules.WitnessStale)
}
