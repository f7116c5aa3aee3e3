package rules

// DisabledRules disables single rules: a field that is true disables the rule of
// its comment. The zero value enforces every rule; only the model checker sets
// fields, to show that each rule is necessary.
type DisabledRules struct {
	// GrantOnce: a witness grants an id to at most one attempt.
	GrantOnce bool
	// Majority: an attempt needs a majority of each witness set.
	Majority bool
	// StartRule: a witness does not vote on ids issued before it started.
	StartRule bool
	// StartMargin: StartRule adds the clock margin to the start time.
	StartMargin bool
	// RetentionRule: a witness does not vote on ids past their retention.
	RetentionRule bool
	// RefuseWhenFull: a full witness refuses new ids and drops none that it holds.
	RefuseWhenFull bool
	// JointSets: an attempt needs a majority of the witnesses of each host list that
	// may be in use.
	JointSets bool
	// CompareRevisions: a witness refuses a claim that lacks one of its host lists, or
	// whose newest host list it does not have.
	CompareRevisions bool
	// CompleteHistory: the claimant or a witness that voted must have every host list
	// that may be in use.
	CompleteHistory bool
	// ListLease: a host neither claims nor votes by a host list whose confirmation is
	// older than the list lease.
	ListLease bool
	// Deadline: nothing is sent to a target after the deadline.
	Deadline bool
	// LateVotes: votes that arrive after an attempt was abandoned do not count.
	LateVotes bool
	// LateClaims: a witness does not grant an id to an attempt that was released.
	LateClaims bool
	// UnknownForResend: a failed attempt is NotRun only for an id that the claimant
	// has just generated.
	UnknownForResend bool
}
