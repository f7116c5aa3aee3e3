package exchange

// Handover describes a request that a host passes on since it reaches too few targets.
type Handover struct {
	// LostShare is the share of its targets, 0 to 1, that the host can't reach.
	LostShare float64
	// ConfigVersion is the version of the configuration that has the request's route.
	ConfigVersion int64
	// MayHaveRun is set if the host has sent the request to a target itself. Again then reports
	// whether it may run on any target once more, and counts that as extra load.
	MayHaveRun bool
	Again      func() bool
}
