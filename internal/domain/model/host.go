package model

// HostState is a host's state in the published host list.
type HostState string

const (
	// Live means that the host accepts work.
	Live HostState = "live"
	// Leaving means that the host finishes its current work and accepts no more.
	Leaving HostState = "leaving"
)

// Host is one of the tier's own hosts.
type Host struct {
	ID            HostID        `json:"id" cbor:"1,keyasint" validate:"required"`
	PeerAddr      string        `json:"peer_addr" cbor:"2,keyasint" validate:"required,hostname_port"`
	Region        Region        `json:"region" cbor:"3,keyasint" validate:"required"`
	FailureDomain FailureDomain `json:"failure_domain" cbor:"4,keyasint" validate:"required"`
	State         HostState     `json:"state" cbor:"5,keyasint" validate:"oneof=live leaving"`
}

// HostList is the platform's list of the tier's hosts and of the leaving targets.
// It lags behind the actual state.
type HostList struct {
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	Hosts    []Host   `json:"hosts" cbor:"2,keyasint" validate:"unique=ID,dive"`
	// LeavingTargets lists the targets that accept no new work.
	LeavingTargets []TargetID `json:"leaving_targets,omitempty" cbor:"3,keyasint,omitempty"`
}
