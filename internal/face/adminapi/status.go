// Package adminapi holds the JSON messages of the administration API. The
// daemon and the command-line tool share them.
package adminapi

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Paths of the administration API.
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

// Status is the state of the fleet as seen by one host. Ages are the times since
// this host last received the information, on its own clock.
type Status struct {
	Self        model.Host        `json:"self"`
	Incarnation model.Incarnation `json:"incarnation"`
	Version     string            `json:"version"`
	// Ready is true if the host accepts queries; otherwise NotReadyBecause is the
	// reason.
	Ready           bool   `json:"ready"`
	NotReadyBecause string `json:"not_ready_because,omitempty"`
	// Draining is true once the host has begun its planned stop.
	Draining        bool           `json:"draining"`
	InflightQueries int            `json:"inflight_queries"`
	UptimeMS        int64          `json:"uptime_ms"`
	Config          ConfigStatus   `json:"config"`
	HostList        HostListStatus `json:"host_list"`
	Platform        PlatformStatus `json:"platform"`
	Hosts           []HostStatus   `json:"hosts"`
}

// ConfigStatus identifies the configuration in force.
type ConfigStatus struct {
	Revision model.Revision `json:"revision"`
	// Digest is the document's hash in 16 hexadecimal digits; empty if no
	// configuration is in force.
	Digest string `json:"digest,omitempty"`
	AgeMS  int64  `json:"age_ms"`
}

// HostListStatus identifies the host list in use.
type HostListStatus struct {
	Revision model.Revision `json:"revision"`
	AgeMS    int64          `json:"age_ms"`
}

// PlatformStatus is the state of this host's connection to the platform.
type PlatformStatus struct {
	// Watching is true if this host reads from the platform itself, not only from
	// other hosts.
	Watching bool `json:"watching"`
	// Reachable is true if the platform answered recently.
	Reachable bool `json:"reachable"`
	// AgeMS is the time since the platform's last answer; -1 if there was none.
	AgeMS     int64  `json:"age_ms"`
	LastError string `json:"last_error,omitempty"`
}

// HostStatus is the state of one host as seen by the reporting host.
type HostStatus struct {
	model.Host
	Incarnation      model.Incarnation `json:"incarnation,omitempty"`
	Config           ConfigStatus      `json:"config"`
	HostListRevision model.Revision    `json:"host_list_revision"`
	// Linked is true if a link to the host is up.
	Linked bool `json:"linked"`
	// AgeMS is the time since the last message from the host itself; -1 if there
	// was none.
	AgeMS int64 `json:"age_ms"`
}
