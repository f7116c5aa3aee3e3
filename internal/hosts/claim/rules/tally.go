package rules

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Tally counts the votes on one attempt, on the claimant's side.
type Tally struct {
	off Switches
	// sets are the witnesses by each host list that the claim named.
	sets     [][]model.HostID
	votes    map[model.HostID]Answer
	complete bool
	outcome  []byte
	// givenUp is set once nothing may be sent under the attempt any more.
	givenUp bool
}

// NewTally returns a tally for the witness sets of one claim. complete says that
// the claimant's own history of host lists is complete.
func NewTally(sets [][]model.HostID, complete bool, off Switches) *Tally {
	return &Tally{sets: sets, votes: make(map[model.HostID]Answer), complete: complete, off: off}
}

// GiveUp ends the attempt: whatever votes arrive, it has not won.
func (t *Tally) GiveUp() { t.givenUp = !t.off.LateVotes }

// MayAct reports whether the request may go to a target at time now.
func (t *Tally) MayAct(now, deadline Time) bool {
	return t.Won() && (t.off.Deadline || now < deadline)
}

// Witnesses returns each host that is to be asked, once.
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

// Add counts the vote of one witness. The first vote of a witness stays.
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

// Won reports whether the attempt holds a majority of each set, and somebody
// asked has a complete history of host lists. A known outcome never wins.
func (t *Tally) Won() bool {
	if t.givenUp || len(t.sets) == 0 || len(t.outcome) > 0 {
		return false
	}
	if !t.complete && !t.off.CompleteHistory {
		return false
	}
	for _, set := range t.judged() {
		if t.count(set, true) < t.needed(set) {
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
	for _, set := range t.judged() {
		if t.count(set, true)+t.count(set, false) < t.needed(set) {
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

// From returns a witness that gave the answer.
func (t *Tally) From(answer Answer) (model.HostID, bool) {
	for host, got := range t.votes {
		if got == answer {
			return host, true
		}
	}
	return "", false
}

// Complete reports whether somebody asked has a complete history of host lists.
func (t *Tally) Complete() bool { return t.complete }

// Outcome returns the recorded outcome that a witness told, nil if none.
func (t *Tally) Outcome() []byte { return t.outcome }

// judged returns the sets in which a majority is needed.
func (t *Tally) judged() [][]model.HostID {
	if t.off.JointSets {
		return t.sets[len(t.sets)-1:]
	}
	return t.sets
}

func (t *Tally) needed(set []model.HostID) int {
	if t.off.Majority {
		return 1
	}
	return len(set)/2 + 1
}

// count returns the grants in set, or the witnesses yet to vote.
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
