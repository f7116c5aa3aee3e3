// Package view holds the immutable picture of the fleet that traffic reads.
//
// The fleet's control goroutine builds a new View for each change and publishes
// it through an atomic pointer; nothing modifies a View after that. A request
// loads the View once and uses that one to its end.
package view

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// View is the fleet as this host sees it.
type View struct {
	Self model.Host
	// Fleet is the configuration in force; nil until one was accepted.
	Fleet *config.Fleet
	// Hosts is the newest host list known.
	Hosts *model.HostList
	// Owners maps each target to the hosts that may dispatch to it.
	Owners map[model.TargetID]Owners
	// LeavingTargets are targets that get no new work, whatever told so.
	LeavingTargets map[model.TargetID]struct{}
	// LeavingHosts are hosts that own no target, whatever told so.
	LeavingHosts map[model.HostID]struct{}
	// BuiltAt is when the view was built, on this host's clock.
	BuiltAt time.Time
}

// Owners are the hosts that may dispatch to one target. Either may be empty.
type Owners struct {
	Owner   model.HostID
	Standby model.HostID
}

// Source gives the current view. Implementations never block and never return
// nil.
type Source interface {
	Current() *View
}
