package claimmodel

import "github.com/swiftvane/swiftvane/internal/hosts/claim/rules"

// Omission leaves one rule out of a scenario in which it is needed.
type Omission struct {
	Rule     string
	Scenario string
	Omit     func(*Scenario)
}

// Omissions returns one for each rule of the protocol.
func Omissions() []Omission {
	off := func(switches rules.Switches) func(*Scenario) {
		return func(s *Scenario) { s.Off = switches }
	}
	return []Omission{
		{"a witness grants an id once", TwoHosts, off(rules.Switches{GrantOnce: true})},
		{"a claim needs a majority", TwoHosts, off(rules.Switches{Majority: true})},
		{"no vote on ids from before the witness's start", Restart, off(rules.Switches{StartRule: true})},
		{"clock margin around the start", Restart, off(rules.Switches{StartMargin: true})},
		{"no vote on ids past their retention", Expiry, off(rules.Switches{RetentionRule: true})},
		{"a full witness refuses and forgets nothing", Full, off(rules.Switches{RefuseWhenFull: true})},
		{"a majority by each host list in use", Moved, off(rules.Switches{JointSets: true})},
		{"the side that knows fewer lists refuses", Moved, off(rules.Switches{NameRevisions: true})},
		{"somebody asked knows each list in use", Moved, off(rules.Switches{CompleteHistory: true})},
		{"lists are confirmed within a lease", MovedLate, off(rules.Switches{ListLease: true})},
		{"nothing is sent after the deadline", Pause, off(rules.Switches{Deadline: true})},
		{"votes after giving up do not count", TwoHosts, off(rules.Switches{LateVotes: true})},
		{"no grant to an attempt that was given up", TwoHosts, off(rules.Switches{LateClaims: true})},
		{"not_run only for ids just made", TwoHosts, off(rules.Switches{UnknownForResend: true})},
	}
}
