package rules

import "github.com/swiftvane/swiftvane/internal/domain/model"

// ListStatus is the state of a host's history of host lists at one moment.
type ListStatus struct {
	// Revisions are the lists that any host may still use, in ascending order.
	Revisions []model.Revision
	// Complete reports that no such list is missing from Revisions.
	Complete bool
	// Confirmed reports that the newest was confirmed within the list lease.
	Confirmed bool
}

// Witness grants ids to attempts and holds their outcomes. It is not safe for
// concurrent use.
type Witness struct {
	limits   Limits
	disabled DisabledRules
	started  Time
	entries  map[string]*entry
	expiries expiries
	// outcomeBytes is the total size of the outcomes held.
	outcomeBytes int
}

// NewWitness returns an empty witness for a process that started at started.
func NewWitness(limits Limits, disabled DisabledRules, started Time) *Witness {
	return &Witness{limits: limits, disabled: disabled, started: started, entries: make(map[string]*entry)}
}

// Len returns the number of ids held.
func (w *Witness) Len() int { return len(w.entries) }

// Vote answers a claim at time now.
func (w *Witness) Vote(c *Claim, status ListStatus, now Time) Vote {
	vote := Vote{Answer: w.refusal(c, status, now), HistoryComplete: status.Complete}
	if vote.Answer != Refused {
		return vote
	}
	e, ok := w.entries[c.ID]
	if !ok {
		if w.full() && !w.disabled.RefuseWhenFull {
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

// refusal returns the reason why the witness may not vote on c, or Refused if it
// may vote.
func (w *Witness) refusal(c *Claim, status ListStatus, now Time) Answer {
	if age := w.checkAge(c.IssuedAt, now); age != Refused {
		return age
	}
	if !w.disabled.StartRule && c.IssuedAt <= w.lastUnsafeIssueTime() {
		return Starting
	}
	if !w.disabled.CompareRevisions {
		if answer := compare(c, status.Revisions); answer != Refused {
			return answer
		}
	}
	if !w.disabled.ListLease && !status.Confirmed {
		return WitnessStale
	}
	return Refused
}

// lastUnsafeIssueTime returns the latest issue time of ids that an earlier process
// of this host may have granted.
func (w *Witness) lastUnsafeIssueTime() Time {
	if w.disabled.StartMargin {
		return w.started
	}
	return w.started.Add(w.limits.ClockMargin)
}

func (w *Witness) checkAge(issuedAt, now Time) Answer {
	if issuedAt > now.Add(w.limits.ClockMargin) {
		return Future
	}
	if !w.disabled.RetentionRule && issuedAt.Add(w.limits.Retention) <= now {
		return Expired
	}
	return Refused
}

// compare checks the host lists of the claim against those of the witness. The
// claim must include each list that the witness has, and the witness must have the
// newest list of the claim. It returns Refused if both hold.
func compare(c *Claim, available []model.Revision) Answer {
	if len(available) == 0 || c.newest() > available[len(available)-1] {
		return WitnessStale
	}
	included := make(map[model.Revision]struct{}, len(c.Revisions))
	for _, revision := range c.Revisions {
		included[revision] = struct{}{}
	}
	for _, revision := range available {
		if _, ok := included[revision]; !ok {
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
		// The id was issued twice, or got a new issue time for a resend; neither may
		// be granted.
		return Held
	case !w.disabled.LateClaims && (e.wasReleased(c.Attempt) || len(e.released) > maxReleased):
		return GivenUp
	case e.held && e.holder == c.Attempt:
		return Granted
	case !w.disabled.GrantOnce && (e.held || len(e.outcome) > 0):
		return Held
	}
	e.held = true
	e.holder = c.Attempt
	return Granted
}

// Release releases an attempt of the claimant. The release is stored even if the
// claim has not arrived yet, unless the witness is full.
func (w *Witness) Release(c *Claim, now Time) {
	e, ok := w.entries[c.ID]
	if !ok {
		if w.full() || w.checkAge(c.IssuedAt, now) != Refused {
			return
		}
		e = w.add(c.ID, c.IssuedAt, c.Fingerprint, now)
	}
	e.release(c.Attempt)
}

// Record stores the outcome of a claimed id. Later outcomes and those with another
// fingerprint are ignored. brief is stored instead of outcome if outcome would
// exceed Limits.MaxOutcomeBytes.
func (w *Witness) Record(c *Claim, outcome, brief []byte, now Time) {
	e, ok := w.entries[c.ID]
	if !ok {
		if w.full() || w.checkAge(c.IssuedAt, now) != Refused {
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
	w.expiries.add(id, w.expiryTime(issuedAt, now))
	return e
}

// expiryTime returns the time from which no host votes on the id any more,
// whatever the difference between clocks within ClockMargin.
func (w *Witness) expiryTime(issuedAt, now Time) Time {
	return max(issuedAt, now).Add(w.limits.Retention + 2*w.limits.ClockMargin)
}

// RemoveExpired removes the ids whose retention has passed.
func (w *Witness) RemoveExpired(now Time) {
	for _, id := range w.expiries.due(now) {
		if e, ok := w.entries[id]; ok {
			w.outcomeBytes -= len(e.outcome)
			delete(w.entries, id)
		}
	}
}
