package adminapi

// Drain is the answer to a request for the host's planned stop.
type Drain struct {
	// Draining is true once the stop has begun.
	Draining bool `json:"draining"`
	// Already is true if the stop had begun before this request.
	Already bool `json:"already"`
}

// Health is the answer to the liveness and readiness checks.
type Health struct {
	OK bool `json:"ok"`
	// Because is the reason if OK is false.
	Because string `json:"because,omitempty"`
}
