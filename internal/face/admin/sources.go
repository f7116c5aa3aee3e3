package admin

import "github.com/swiftvane/swiftvane/internal/face/adminapi"

// StatusSource tells the fleet as this host sees it.
type StatusSource interface {
	Status() adminapi.Status
}

// ConfigSource tells the configuration in force.
type ConfigSource interface {
	// InForce returns nil until a configuration was accepted.
	InForce() *adminapi.Config
}

// TargetLister lists the targets.
type TargetLister interface {
	Targets() []adminapi.Target
}

// QuarantineStore lists and releases quarantined requests.
type QuarantineStore interface {
	Entries() []adminapi.QuarantineEntry
	// Release ends the quarantine of a request fleet-wide. It reports whether
	// the fingerprint was quarantined here.
	Release(fingerprint uint64) bool
}

// Drainer begins the host's planned stop.
type Drainer interface {
	// Drain returns at once. It reports whether this call began the stop.
	Drain() bool
}

// Sources are what the API serves from. Implementations don't block and may be
// called from any goroutine.
type Sources struct {
	Status     StatusSource
	Config     ConfigSource
	Targets    TargetLister
	Quarantine QuarantineStore
	Drainer    Drainer
}
