package platform

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Faults are what a platform does wrong.
type Faults struct {
	// Down closes connections without an answer.
	Down bool `json:"down,omitempty"`
	// StaleRevision serves the newest document at or below it, if not zero.
	StaleRevision model.Revision `json:"stale_revision,omitempty"`
	// Conflict gives every second call a document that has these keys as well,
	// under the same revision.
	Conflict map[string]json.RawMessage `json:"conflict,omitempty"`
	// SlowMS delays each answer, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// HostLagMS is how late a published host list is seen, in milliseconds.
	HostLagMS int `json:"host_lag_ms,omitempty"`
}

// Calls counts the calls that read the platform.
type Calls struct {
	Config int `json:"config"`
	Hosts  int `json:"hosts"`
	// Waiting is the watches that wait now.
	Waiting int `json:"waiting"`
}
