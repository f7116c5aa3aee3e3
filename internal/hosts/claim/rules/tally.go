package rules

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Tally counts the votes on one attempt on the claimant's side. It is not safe for
// concurrent use.
type Tally struct {
	disabled DisabledRules
	// sets are the witnesses of the id by each host list of the claim, in ascending
	// order of revision.
	sets     [][]model.HostID
	votes    map[model.HostID]Answer
	complete bool
	outcome  []byte
	// abandoned is set once no request may be sent under the attempt any more.
	abandoned bool
}

// NewTally returns a tally for the witness sets of one claim. complete reports
// whether the claimant's own history of host lists is complete.
func NewTally(sets [][]model.HostID, complete bool, disabled DisabledRules) *Tally {
	return &Tally{sets: sets, votes: make(map[model.HostID]Answer), complete: complete, disabled: disabled}
}

// Abandon abandons the attempt: votes that arrive later cannot make it win.
func (t *Tally) Abandon() { t.abandoned = !t.disabled.LateVotes }

// MayAct reports whether the request may be sent to a target at time now.
func (t *Tally) MayAct(now, deadline Time) bool {
	return t.Won() && (t.disabled.Deadline || now < deadline)
}

// Witnesses returns the hosts of all witness sets without duplicates.
func (t *Tally) Witnesses() []model.HostID {
	var hosts []model.HostID
	seen := make(map[model.HostID]struct{})
	for _, set := range t.sets {
		for _, host := range set {
			if _, ok := seen[host]; !ok {
				seen[host] = struct{}{}
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}

// Add counts the vote of one witness. Further votes of the same witness are
// ignored.
func (t *Tally) Add(from model.HostID, vote Vote) {
	if _, ok := t.votes[from]; ok {
		return
	}
	t.votes[from] = vote.Answer
	t.complete = t.complete || vote.HistoryComplete
	if len(vote.Outcome) > 0 {
		t.outcome = vote.Outcome
	}
}

// Won reports whether the attempt has a majority of each witness set and the
// claimant or a witness that voted has a complete history of host lists. An
// attempt never wins if a witness returned a recorded outcome.
func (t *Tally) Won() bool {
	if t.abandoned || len(t.sets) == 0 || len(t.outcome) > 0 {
		return false
	}
	if !t.complete && !t.disabled.CompleteHistory {
		return false
	}
	for _, set := range t.requiredSets() {
		if t.count(set, true) < t.quorum(set) {
			return false
		}
	}
	return true
}

// Lost reports whether the attempt can no longer win.
func (t *Tally) Lost() bool {
	if len(t.sets) == 0 || len(t.outcome) > 0 {
		return true
	}
	for _, set := range t.requiredSets() {
		if t.count(set, true)+t.count(set, false) < t.quorum(set) {
			return true
		}
	}
	return t.allVoted() && !t.Won()
}

// Seen reports whether any witness gave the answer.
func (t *Tally) Seen(answer Answer) bool {
	for _, got := range t.votes {
		if got == answer {
			return true
		}
	}
	return false
}

// Majority reports whether a majority of some set gave the answer.
func (t *Tally) Majority(answer Answer) bool {
	for _, set := range t.sets {
		n := 0
		for _, host := range set {
			if got, ok := t.votes[host]; ok && got == answer {
				n++
			}
		}
		if n > len(set)/2 {
			return true
		}
	}
	return false
}

// WitnessWith returns a witness that gave the answer, and false if none did.
func (t *Tally) WitnessWith(answer Answer) (model.HostID, bool) {
	for host, got := range t.votes {
		if got == answer {
			return host, true
		}
	}
	return "", false
}

// Complete reports whether the claimant or a witness that voted has a complete
// history of host lists.
func (t *Tally) Complete() bool { return t.complete }

// Outcome returns the recorded outcome that a witness returned, nil if none.
func (t *Tally) Outcome() []byte { return t.outcome }

// requiredSets returns the sets in which a majority is required.
func (t *Tally) requiredSets() [][]model.HostID {
	if t.disabled.JointSets {
		return t.sets[len(t.sets)-1:]
	}
	return t.sets
}

func (t *Tally) quorum(set []model.HostID) int {
	if t.disabled.Majority {
		return 1
	}
	return len(set)/2 + 1
}

// count returns the number of witnesses in set that granted the id or, if granted
// is false, that have not voted yet.
func (t *Tally) count(set []model.HostID, granted bool) int {
	n := 0
	for _, host := range set {
		answer, voted := t.votes[host]
		if granted && voted && answer == Granted || !granted && !voted {
			n++
		}
	}
	return n
}

func (t *Tally) allVoted() bool {
	for _, set := range t.sets {
		if t.count(set, false) > 0 {
			return false
		}
	}
	return true
}
