package adminapi

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Quarantine is the list of quarantined requests.
type Quarantine struct {
	Entries []QuarantineEntry `json:"entries"`
}

// QuarantineEntry describes a request that is refused because it crashed targets.
type QuarantineEntry struct {
	// Fingerprint identifies the entry, in 16 hexadecimal digits.
	Fingerprint string             `json:"fingerprint"`
	Caller      model.CallerID     `json:"caller,omitempty"`
	Workload    model.WorkloadName `json:"workload,omitempty"`
	Service     model.ServiceName  `json:"service,omitempty"`
	Crashes     int                `json:"crashes"`
	Targets     []model.TargetID   `json:"targets,omitempty"`
	AgeMS       int64              `json:"age_ms"`
	ExpiresInMS int64              `json:"expires_in_ms"`
}

// Released is the answer to the release of a quarantined request.
type Released struct {
	Fingerprint string `json:"fingerprint"`
}
