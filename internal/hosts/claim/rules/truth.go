package rules

// MayReportNotRun reports whether a failed attempt that did not run may be reported
// as NotRun. For an id that came from a caller it may not: an earlier attempt
// whose answer was lost may have run or may still run, and the witnesses that
// answered need not have a record of it. An id that the claimant has just
// generated has no earlier attempt.
func MayReportNotRun(minted bool, disabled DisabledRules) bool {
	return minted || disabled.UnknownForResend
}
