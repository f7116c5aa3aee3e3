package quarantine

// State is how a request is treated.
type State uint8

const (
	// Clean requests run as usual.
	Clean State = iota
	// Suspect requests run on one target at a time, fleet-wide, on the shards on
	// which they crashed one.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)
