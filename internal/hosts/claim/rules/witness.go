package rules

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Known is what a host knows of the host lists at one moment.
type Known struct {
	// Revisions are the lists that any host may still act by, in rising order.
	Revisions []model.Revision
	// Complete says that no such list is missing from Revisions.
	Complete bool
	// Confirmed says that the newest was confirmed within the list lease.
	Confirmed bool
}

// Witness grants ids. It belongs to one goroutine.
type Witness struct {
	limits   Limits
	off      Switches
	started  Time
	entries  map[string]*entry
	expiries expiries
	// outcomeBytes is the size of all outcomes held.
	outcomeBytes int
}

// NewWitness returns the witness of a process that started at started.
func NewWitness(limits Limits, off Switches, started Time) *Witness {
	return &Witness{limits: limits, off: off, started: started, entries: make(map[string]*entry)}
}

// Len returns the number of ids held.
func (w *Witness) Len() int { return len(w.entries) }

// Vote answers a claim at time now.
func (w *Witness) Vote(c *Claim, known Known, now Time) Vote {
	vote := Vote{Answer: w.refusal(c, known, now), HistoryComplete: known.Complete}
	if vote.Answer != Refused {
		return vote
	}
	e, ok := w.entries[c.ID]
	if !ok {
		if w.full() && !w.off.RefuseWhenFull {
			vote.Answer = Full
			return vote
		}
		if w.full() {
			clear(w.entries)
		}
		e = w.add(c.ID, c.IssuedAt, c.Fingerprint, now)
	}
	vote.Answer = w.decide(e, c)
	vote.Outcome = e.outcome
	return vote
}

// refusal returns why the witness may not vote on c at all, else Refused.
func (w *Witness) refusal(c *Claim, known Known, now Time) Answer {
	if age := w.age(c.IssuedAt, now); age != Refused {
		return age
	}
	if !w.off.StartRule && c.IssuedAt <= w.votesAfter() {
		return Starting
	}
	if !w.off.NameRevisions {
		if answer := compare(c, known.Revisions); answer != Refused {
			return answer
		}
	}
	if !w.off.ListLease && !known.Confirmed {
		return WitnessStale
	}
	return Refused
}

// votesAfter is the newest issue time of ids that an earlier process of this host
// may have granted.
func (w *Witness) votesAfter() Time {
	if w.off.StartMargin {
		return w.started
	}
	return w.started.Add(w.limits.ClockMargin)
}

func (w *Witness) age(issuedAt, now Time) Answer {
	if issuedAt > now.Add(w.limits.ClockMargin) {
		return Future
	}
	if !w.off.RetentionRule && issuedAt.Add(w.limits.Retention) <= now {
		return Expired
	}
	return Refused
}

// compare refuses the side that knows less. A claimant must ask the witnesses of
// each list that the witness knows; the witness must know the newest.
func compare(c *Claim, known []model.Revision) Answer {
	if len(known) == 0 || c.newest() > known[len(known)-1] {
		return WitnessStale
	}
	asked := make(map[model.Revision]struct{}, len(c.Revisions))
	for _, revision := range c.Revisions {
		asked[revision] = struct{}{}
	}
	for _, revision := range known {
		if _, ok := asked[revision]; !ok {
			return ClaimantStale
		}
	}
	return Refused
}

func (w *Witness) decide(e *entry, c *Claim) Answer {
	switch {
	case e.fingerprint != c.Fingerprint:
		return Reused
	case e.issuedAt != c.IssuedAt:
		// Issued twice, or stamped anew for a resend: never a reason to grant.
		return Held
	case !w.off.LateClaims && (e.gaveUp(c.Attempt) || len(e.givenUp) > maxGivenUp):
		return GivenUp
	case e.held && e.holder == c.Attempt:
		return Granted
	case !w.off.GrantOnce && (e.held || len(e.outcome) > 0):
		return Held
	}
	e.held = true
	e.holder = c.Attempt
	return Granted
}

// Release gives up an attempt of the claimant's. It is remembered even where the
// claim has not arrived, unless the witness is full.
func (w *Witness) Release(c *Claim, now Time) {
	e, ok := w.entries[c.ID]
	if !ok {
		if w.full() || w.age(c.IssuedAt, now) != Refused {
			return
		}
		e = w.add(c.ID, c.IssuedAt, c.Fingerprint, now)
	}
	e.release(c.Attempt)
}

// Record keeps the outcome of a claimed id. The first one stays. brief is kept
// in place of outcome where that would exceed the bound on outcomes.
func (w *Witness) Record(c *Claim, outcome, brief []byte, now Time) {
	e, ok := w.entries[c.ID]
	if !ok {
		if w.full() || w.age(c.IssuedAt, now) != Refused {
			return
		}
		e = w.add(c.ID, c.IssuedAt, c.Fingerprint, now)
	}
	if len(e.outcome) > 0 || e.fingerprint != c.Fingerprint {
		return
	}
	if w.outcomeBytes+len(outcome) > w.limits.MaxOutcomeBytes {
		outcome = brief
	}
	e.outcome = outcome
	w.outcomeBytes += len(outcome)
}

func (w *Witness) full() bool { return len(w.entries) >= w.limits.MaxEntries }

func (w *Witness) add(id string, issuedAt Time, fingerprint uint64, now Time) *entry {
	e := &entry{issuedAt: issuedAt, fingerprint: fingerprint}
	w.entries[id] = e
	w.expiries.add(id, w.forgetAt(issuedAt, now))
	return e
}

// forgetAt is when no host votes on the id any more, whatever its clock.
func (w *Witness) forgetAt(issuedAt, now Time) Time {
	return max(issuedAt, now).Add(w.limits.Retention + 2*w.limits.ClockMargin)
}

// Forget drops the ids whose retention has passed.
func (w *Witness) Forget(now Time) {
	for _, id := range w.expiries.due(now) {
		if e, ok := w.entries[id]; ok {
			w.outcomeBytes -= len(e.outcome)
			delete(w.entries, id)
		}
	}
}
