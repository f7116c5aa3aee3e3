// Package adminapi holds the JSON messages of the administration API. The
// daemon and the command-line tool share them.
package adminapi

import "github.com/swiftvane/swiftvane/internal/model"

// The paths of the administration API.
const (
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
	PathMetrics     = "/metrics"
	PathStatus      = "/v1/admin/status"
	PathConfig      = "/v1/admin/config"
	PathConfigCheck = "/v1/admin/config/check"
	PathConfigWait  = "/v1/admin/config/wait"
	PathTargets     = "/v1/admin/targets"
	PathQuarantine  = "/v1/admin/quarantine"
	PathDrain       = "/v1/admin/drain"
)

// Status is the fleet as one host sees it. Each fact has its age: the time since
// this host last learned it, on this host's clock.
type Status struct {
	Self        model.Host        `json:"self"`
	Incarnation model.Incarnation `json:"incarnation"`
	Version     string            `json:"version"`
	// Ready says that the host takes queries; NotReadyBecause says why not.
	Ready           bool   `json:"ready"`
	NotReadyBecause string `json:"not_ready_because,omitempty"`
	// Draining says that the host has begun its planned stop.
	Draining bool `json:"draining"`
	// Paused says that the process did not run for a while and refreshes its
	// views before it acts.
	Paused          bool         `json:"paused"`
	InflightQueries int          `json:"inflight_queries"`
	UptimeMS        int64        `json:"uptime_ms"`
	Config          DocumentFact `json:"config"`
	HostList        DocumentFact `json:"host_list"`
	// Watching says that this host reads the platform itself rather than
	// learning from other hosts alone.
	Watching bool `json:"watching"`
	// LeavingTargets and LeavingHosts get no new work.
	LeavingTargets []model.TargetID `json:"leaving_targets"`
	LeavingHosts   []model.HostID   `json:"leaving_hosts"`
	Hosts          []HostFact       `json:"hosts"`
}

// DocumentFact says which configuration or host list is in force.
type DocumentFact struct {
	Revision model.Revision `json:"revision"`
	// Digest is the hash of the document as 16 hexadecimal digits; empty if none
	// is in force.
	Digest string `json:"digest,omitempty"`
	// Source is "platform" or the host that it came from.
	Source string `json:"source,omitempty"`
	// AgeMS is the time since it came into force.
	AgeMS int64 `json:"age_ms"`
	// PlatformAgeMS is the time since this process last read it from the
	// platform; -1 if it never did.
	PlatformAgeMS int64 `json:"platform_age_ms"`
	// Rejected is the newest document that was not accepted, nil for none.
	Rejected *RejectedDocument `json:"rejected,omitempty"`
}

// RejectedDocument is a published document that was not accepted.
type RejectedDocument struct {
	Revision model.Revision `json:"revision"`
	Reason   string         `json:"reason"`
	Source   string         `json:"source"`
	AgeMS    int64          `json:"age_ms"`
}

// HostFact is what a host was last heard to say.
type HostFact struct {
	model.Host
	ConfigRevision   model.Revision `json:"config_revision"`
	HostListRevision model.Revision `json:"host_list_revision"`
	// AgeMS is the time since the host was heard; -1 if it was not of late.
	AgeMS int64 `json:"age_ms"`
}
