package adminapi

import "github.com/swiftvane/swiftvane/internal/domain/model"

// TargetState is the state of a target as seen by a host.
type TargetState string

// States of a target.
const (
	// TargetLive means that the target accepts work.
	TargetLive TargetState = "live"
	// TargetLeaving means that the target gets no new work.
	TargetLeaving TargetState = "leaving"
	// TargetEvacuated means that the target's failure domain is evacuated.
	TargetEvacuated TargetState = "evacuated"
	// TargetUnreachable means that the last connection to the target was refused
	// or lost.
	TargetUnreachable TargetState = "unreachable"
	// TargetStarting means that the target started or became reachable again
	// recently and gets little work.
	TargetStarting TargetState = "starting"
	// TargetUnknown means that only other hosts dispatch to the target, so that
	// this host has no state for it.
	TargetUnknown TargetState = "unknown"
)

// Targets is the list of targets.
type Targets struct {
	Targets []Target `json:"targets"`
}

// Target is the state of one target as seen by a host. Connections, Queue,
// Inflight and Load are set only on hosts that dispatch to it.
type Target struct {
	model.Target
	Owner       model.HostID `json:"owner,omitempty"`
	Standby     model.HostID `json:"standby,omitempty"`
	State       TargetState  `json:"state"`
	Connections int          `json:"connections"`
	Queue       int          `json:"queue"`
	Inflight    int          `json:"inflight"`
	// Load is the target's last report about itself; nil if there is none.
	Load *TargetLoad `json:"load,omitempty"`
}

// TargetLoad is a target's last report about itself.
type TargetLoad struct {
	Inflight       int              `json:"inflight"`
	Queued         int              `json:"queued"`
	OldestSnapshot model.SnapshotID `json:"oldest_snapshot,omitempty"`
	NewestSnapshot model.SnapshotID `json:"newest_snapshot,omitempty"`
	AgeMS          int64            `json:"age_ms"`
}
