package rules

// Switches leave single rules out. The zero value has every rule in force; only
// the model that shows what each rule is for sets any.
type Switches struct {
	// GrantOnce: a witness grants an id to one attempt.
	GrantOnce bool
	// Majority: an attempt needs a majority of each witness set.
	Majority bool
	// StartRule: a witness does not vote on ids from before its start.
	StartRule bool
	// StartMargin: the clock margin counts in StartRule.
	StartMargin bool
	// RetentionRule: a witness does not vote on ids past their retention.
	RetentionRule bool
	// RefuseWhenFull: a full witness refuses new ids and forgets none.
	RefuseWhenFull bool
	// JointSets: an attempt needs a majority by each list that may be in use.
	JointSets bool
	// NameRevisions: the side that knows fewer host lists refuses.
	NameRevisions bool
	// CompleteHistory: somebody asked must know every list that may be in use.
	CompleteHistory bool
	// ListLease: nobody acts or votes by a list confirmed too long ago.
	ListLease bool
	// Deadline: nothing is sent to a target after the deadline.
	Deadline bool
	// LateVotes: votes that arrive after an attempt was given up do not count.
	LateVotes bool
	// LateClaims: a witness grants nothing to an attempt that was given up.
	LateClaims bool
	// UnknownForResend: only for an id just made may a failed attempt be NotRun.
	UnknownForResend bool
}
