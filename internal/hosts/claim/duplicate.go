package claim

// Duplicate is returned for an id that was claimed before. Outcome is nil while
// no witness knows what became of it.
type Duplicate struct {
	Outcome *Outcome
}

// Error implements error.
func (d *Duplicate) Error() string { return "claim: the request id was claimed before" }
