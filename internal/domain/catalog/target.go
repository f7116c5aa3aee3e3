package catalog

import "time"

// ServiceName names a service. Each shard of an index is a separate service.
type ServiceName string

// TargetID identifies a target process.
type TargetID string

// Target describes one searcher process, as reported by itself.
type Target struct {
	ID      TargetID
	Service ServiceName
	// Addr is IP:PORT. Another target may reuse the address later.
	Addr          string
	FailureDomain string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving is set if the target gets no new work.
	Leaving bool
	// Born distinguishes restarts under the same ID: the start time in Unix
	// milliseconds, or zero if the target does not report one.
	Born int64
	// WarmUntil is the end of the target's warm-up after its start.
	WarmUntil time.Time
	// Revision is the store's revision of the entry.
	Revision int64
}

// SameStart reports whether t and other describe the same start of a process at
// the same address.
func (t *Target) SameStart(other *Target) bool {
	return t.ID == other.ID && t.Addr == other.Addr && t.Born == other.Born && t.Service == other.Service
}
