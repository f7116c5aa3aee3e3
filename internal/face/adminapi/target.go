package adminapi

import "github.com/swiftvane/swiftvane/internal/domain/model"

// TargetState is what a host knows of a target.
type TargetState string

// The states of a target.
const (
	// TargetLive takes work.
	TargetLive TargetState = "live"
	// TargetLeaving gets no new work.
	TargetLeaving TargetState = "leaving"
	// TargetUnreachable refused or lost its last connection.
	TargetUnreachable TargetState = "unreachable"
	// TargetStarting gets little work, since it came up or came back lately.
	TargetStarting TargetState = "starting"
	// TargetUnknown is held by other hosts and not known here.
	TargetUnknown TargetState = "unknown"
)

// Targets is the list of targets.
type Targets struct {
	Targets []Target `json:"targets"`
}

// Target is one target as a host sees it. Connections, Queue, Inflight and Load
// are known only on the hosts that dispatch to it.
type Target struct {
	model.Target
	Owner       model.HostID `json:"owner,omitempty"`
	Standby     model.HostID `json:"standby,omitempty"`
	State       TargetState  `json:"state"`
	Connections int          `json:"connections"`
	Queue       int          `json:"queue"`
	Inflight    int          `json:"inflight"`
	// Load is the target's own last report; nil if there is none.
	Load *TargetLoad `json:"load,omitempty"`
}

// TargetLoad is what a target last reported about itself.
type TargetLoad struct {
	Inflight       int              `json:"inflight"`
	Queued         int              `json:"queued"`
	OldestSnapshot model.SnapshotID `json:"oldest_snapshot,omitempty"`
	NewestSnapshot model.SnapshotID `json:"newest_snapshot,omitempty"`
	AgeMS          int64            `json:"age_ms"`
}
