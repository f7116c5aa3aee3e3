package admin

import (
	"context"

	"github.com/swiftvane/swiftvane/internal/adminapi"
)

// StatusSource tells the fleet as this host sees it.
type StatusSource interface {
	// Ready reports whether the host takes queries, and why not.
	Ready() (ok bool, because string)
	Status() adminapi.Status
}

// HostAsker asks each listed host, this one included, which configuration
// revision it has in force. It may take as long as ctx allows; a host that does
// not answer in time has an error. InForce is left to the caller.
type HostAsker interface {
	AskHosts(ctx context.Context) []adminapi.HostRevision
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

// Sources are what the API serves from. They may be called from any goroutine
// and, but for HostAsker, don't block.
type Sources struct {
	Status     StatusSource
	Hosts      HostAsker
	Config     ConfigSource
	Targets    TargetLister
	Quarantine QuarantineStore
	Drainer    Drainer
}
