package platform

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Faults configures the faults that a platform injects.
type Faults struct {
	// Down closes connections without a response.
	Down bool `json:"down,omitempty"`
	// StaleRevision, if not zero, makes the platform serve the newest document at
	// or below this revision.
	StaleRevision model.Revision `json:"stale_revision,omitempty"`
	// Conflict holds keys that are added to the document in every second call,
	// without a change of its revision.
	Conflict map[string]json.RawMessage `json:"conflict,omitempty"`
	// SlowMS is the delay of each response, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// HostLagMS is the delay until a published host list becomes visible, in
	// milliseconds.
	HostLagMS int `json:"host_lag_ms,omitempty"`
}

// Calls counts the read calls that the platform received.
type Calls struct {
	Config int `json:"config"`
	Hosts  int `json:"hosts"`
	// Waiting is the number of watches in progress.
	Waiting int `json:"waiting"`
}
