package catalog

import "time"

// ServiceName names a service. Each shard of an index is a service of its own.
type ServiceName string

// TargetID names one start of a target process.
type TargetID string

// Target is one searcher as it describes itself.
type Target struct {
	ID      TargetID
	Service ServiceName
	// Addr is IP:PORT. An address may pass to another target later.
	Addr          string
	FailureDomain string
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Leaving targets get no new work.
	Leaving bool
	// Born tells apart two starts under one ID, in Unix milliseconds. It is
	// zero where the target does not say.
	Born int64
	// WarmUntil is when the target is up to speed after its start.
	WarmUntil time.Time
}

// SameStart reports whether both describe the same process at one address.
func (t *Target) SameStart(other *Target) bool {
	return t.ID == other.ID && t.Addr == other.Addr && t.Born == other.Born && t.Service == other.Service
}
