package claimmodel

import "github.com/swiftvane/swiftvane/internal/hosts/claim/rules"

// Omission disables one rule in a scenario that violates an invariant without it.
type Omission struct {
	Rule     string
	Scenario string
	Omit     func(*Scenario)
}

// Omissions returns an Omission for each rule of the protocol.
func Omissions() []Omission {
	disable := func(disabled rules.DisabledRules) func(*Scenario) {
		return func(s *Scenario) { s.Disabled = disabled }
	}
	return []Omission{
		{"a witness grants an id once", TwoHosts, disable(rules.DisabledRules{GrantOnce: true})},
		{"a claim needs a majority", TwoHosts, disable(rules.DisabledRules{Majority: true})},
		{"no vote on ids issued before the witness started", Restart, disable(rules.DisabledRules{StartRule: true})},
		{"clock margin around the start", Restart, disable(rules.DisabledRules{StartMargin: true})},
		{"no vote on ids past their retention", Expiry, disable(rules.DisabledRules{RetentionRule: true})},
		{"a full witness refuses new ids and drops none", Full, disable(rules.DisabledRules{RefuseWhenFull: true})},
		{"a majority by each host list in use", WitnessesReplaced, disable(rules.DisabledRules{JointSets: true})},
		{"a claim with missing host lists is refused", WitnessesReplaced, disable(rules.DisabledRules{CompareRevisions: true})},
		{"the claimant or a voter has each host list in use", WitnessesReplaced, disable(rules.DisabledRules{CompleteHistory: true})},
		{"lists are confirmed within a lease", WitnessesReplacedLate, disable(rules.DisabledRules{ListLease: true})},
		{"nothing is sent after the deadline", Pause, disable(rules.DisabledRules{Deadline: true})},
		{"votes on an abandoned attempt do not count", TwoHosts, disable(rules.DisabledRules{LateVotes: true})},
		{"no grant to a released attempt", TwoHosts, disable(rules.DisabledRules{LateClaims: true})},
		{"not_run only for newly generated ids", TwoHosts, disable(rules.DisabledRules{UnknownForResend: true})},
	}
}
