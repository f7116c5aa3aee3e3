package rules

// Switches leave single rules out. The zero value has every rule in force; only
// the model that shows what each rule is for sets any.
type Switches struct {
	GrantOnce        bool
	Majority         bool
	StartRule        bool
	RetentionRule    bool
	RefuseWhenFull   bool
	JointSets        bool
	NameRevisions    bool
	CompleteHistory  bool
	ListLease        bool
	Deadline         bool
	NoRunAfterGiveUp bool
	UnknownForResend bool
}
