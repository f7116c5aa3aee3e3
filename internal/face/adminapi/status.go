// Package adminapi holds the JSON messages of the administration API. The
// daemon and the command-line tool share them.
package adminapi

import "github.com/swiftvane/swiftvane/internal/domain/model"

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
	Draining        bool         `json:"draining"`
	InflightQueries int          `json:"inflight_queries"`
	UptimeMS        int64        `json:"uptime_ms"`
	Config          ConfigFact   `json:"config"`
	HostList        HostListFact `json:"host_list"`
	Platform        PlatformFact `json:"platform"`
	Hosts           []HostFact   `json:"hosts"`
}

// ConfigFact says which configuration is in force.
type ConfigFact struct {
	Revision model.Revision `json:"revision"`
	// Digest is the hash of the document as 16 hexadecimal digits; empty if no
	// configuration is in force.
	Digest string `json:"digest,omitempty"`
	AgeMS  int64  `json:"age_ms"`
}

// HostListFact says which host list is in use.
type HostListFact struct {
	Revision model.Revision `json:"revision"`
	AgeMS    int64          `json:"age_ms"`
}

// PlatformFact says how the platform's service answered last.
type PlatformFact struct {
	// Watching says that this host reads the platform itself rather than
	// learning from other hosts alone.
	Watching bool `json:"watching"`
	// Reachable says that the last call was answered.
	Reachable bool `json:"reachable"`
	// AgeMS is the time since the last answer; -1 if there was none.
	AgeMS     int64  `json:"age_ms"`
	LastError string `json:"last_error,omitempty"`
}

// HostFact is what is known of one host.
type HostFact struct {
	model.Host
	Incarnation  model.Incarnation `json:"incarnation,omitempty"`
	Config       ConfigFact        `json:"config"`
	HostListSeen model.Revision    `json:"host_list_revision"`
	// Linked says that a link to the host is up.
	Linked bool `json:"linked"`
	// AgeMS is the time since the host itself was heard; -1 if it never was.
	AgeMS int64 `json:"age_ms"`
}
