package adminapi

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Config is the configuration in force on one host.
type Config struct {
	ConfigStatus
	// Keys are the document's keys with their values as published.
	Keys map[string]json.RawMessage `json:"keys"`
}

// ConfigCheck is the outcome of checking a candidate document.
type ConfigCheck struct {
	Valid    bool             `json:"valid"`
	Problems []config.Problem `json:"problems"`
}

// ConfigWait reports for each host whether a revision is in force.
type ConfigWait struct {
	Revision model.Revision `json:"revision"`
	// InForce is true if each live host has the revision or a newer one in force.
	InForce bool           `json:"in_force"`
	Hosts   []HostRevision `json:"hosts"`
}

// HostRevision is the revision in force on one host.
type HostRevision struct {
	ID       model.HostID    `json:"id"`
	State    model.HostState `json:"state"`
	Revision model.Revision  `json:"revision"`
	InForce  bool            `json:"in_force"`
	AgeMS    int64           `json:"age_ms"`
}
