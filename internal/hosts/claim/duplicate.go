package claim

// Duplicate is the error for an id that was claimed before. Outcome is nil if
// none is available, for example while the request is still running.
type Duplicate struct {
	Outcome *Outcome
}

// Error implements error.
func (d *Duplicate) Error() string { return "claim: the request id was claimed before" }
