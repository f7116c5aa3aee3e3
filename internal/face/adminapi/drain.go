package adminapi

// Drain answers a request for the host's planned stop.
type Drain struct {
	// Draining is true once the stop has begun.
	Draining bool `json:"draining"`
	// Already says that it had begun before.
	Already bool `json:"already"`
}

// Health answers the liveness and readiness checks.
type Health struct {
	OK bool `json:"ok"`
	// Because says why not.
	Because string `json:"because,omitempty"`
}
