package admin

import "github.com/swiftvane/swiftvane/internal/face/adminapi"

// StatusSource returns the status of the fleet as seen by this host.
type StatusSource interface {
	Status() adminapi.Status
}

// ConfigSource returns the configuration in force.
type ConfigSource interface {
	// InForce returns nil until a configuration has been accepted.
	InForce() *adminapi.Config
}

// TargetLister lists the targets.
type TargetLister interface {
	Targets() []adminapi.Target
}

// QuarantineStore lists and releases quarantined requests.
type QuarantineStore interface {
	Entries() []adminapi.QuarantineEntry
	// Release ends the quarantine of a request on all hosts. It reports whether
	// the fingerprint was quarantined on this host.
	Release(fingerprint uint64) bool
}

// Drainer starts the host's planned stop.
type Drainer interface {
	// Drain does not block. It reports whether this call started the stop.
	Drain() bool
}

// Sources are the components that the API reads from and acts on. Implementations
// must not block and must be safe for concurrent use.
type Sources struct {
	Status     StatusSource
	Config     ConfigSource
	Targets    TargetLister
	Quarantine QuarantineStore
	Drainer    Drainer
}
