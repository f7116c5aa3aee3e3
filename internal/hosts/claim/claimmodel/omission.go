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
	disable := func(switches rules.Switches) func(*Scenario) {
		return func(s *Scenario) { s.Off = switches }
	}
	return []Omission{
		{"a witness grants an id once", TwoHosts, disable(rules.Switches{GrantOnce: true})},
		{"a claim needs a majority", TwoHosts, disable(rules.Switches{Majority: true})},
		{"no vote on ids issued before the witness started", Restart, disable(rules.Switches{StartRule: true})},
		{"clock margin around the start", Restart, disable(rules.Switches{StartMargin: true})},
		{"no vote on ids past their retention", Expiry, disable(rules.Switches{RetentionRule: true})},
		{"a full witness refuses new ids and drops none", Full, disable(rules.Switches{RefuseWhenFull: true})},
		{"a majority by each host list in use", Moved, disable(rules.Switches{JointSets: true})},
		{"a claim with missing host lists is refused", Moved, disable(rules.Switches{NameRevisions: true})},
		{"the claimant or a voter has each host list in use", Moved, disable(rules.Switches{CompleteHistory: true})},
		{"lists are confirmed within a lease", MovedLate, disable(rules.Switches{ListLease: true})},
		{"nothing is sent after the deadline", Pause, disable(rules.Switches{Deadline: true})},
		{"votes on an abandoned attempt do not count", TwoHosts, disable(rules.Switches{LateVotes: true})},
		{"no grant to a released attempt", TwoHosts, disable(rules.Switches{LateClaims: true})},
		{"not_run only for newly generated ids", TwoHosts, disable(rules.Switches{UnknownForResend: true})},
	}
}
