package rules

// MayTellNotRun reports whether a failed attempt that ran nothing may be called
// NotRun. For an id that came from a caller it may not: an earlier attempt whose
// answer was lost may have run, or may yet, and no witness that answered needs
// to know of it. For an id that the claimant has just made there is no other.
func MayTellNotRun(minted bool, off Switches) bool { return minted || off.UnknownForResend }
