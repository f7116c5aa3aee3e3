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
	// or below this revision, or the newest of all if there is none.
	StaleRevision model.Revision `json:"stale_revision,omitempty"`
	// Conflict holds keys that are set in the document for calls with an odd
	// number, without a change of its revision. Existing keys are replaced. The
	// numbers also count calls for the host list.
	Conflict map[string]json.RawMessage `json:"conflict,omitempty"`
	// SlowMS is the delay of each response to a read or watch, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// HostLagMS is the delay until a published host list becomes visible, in
	// milliseconds.
	HostLagMS int `json:"host_lag_ms,omitempty"`
}

// Calls counts the reads and watches that the platform received, except those that
// arrived while Down was set.
type Calls struct {
	Config int `json:"config"`
	Hosts  int `json:"hosts"`
	// Waiting is the current number of watches in progress.
	Waiting int `json:"waiting"`
}
