// Package view defines the immutable view of the fleet that request handling
// uses.
//
// The fleet's control goroutine builds a new View for each change and publishes
// it through an atomic pointer; a View is never modified after that. A request
// loads the View once and uses it until it ends.
package view

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// View is this host's view of the fleet.
type View struct {
	Self model.Host
	// Fleet is the configuration in force; nil until one has been accepted.
	Fleet *config.Fleet
	// Hosts is the newest host list known.
	Hosts *model.HostList
	// Owners maps each target to the hosts that may dispatch to it.
	Owners map[model.TargetID]Owners
	// LeavingTargets holds the targets that get no new work, regardless of which
	// source reported it.
	LeavingTargets map[model.TargetID]struct{}
	// LeavingHosts holds the hosts that own no targets because they are leaving,
	// regardless of which source reported it.
	LeavingHosts map[model.HostID]struct{}
	// BuiltAt is the time at which the view was built, on this host's clock.
	BuiltAt time.Time
}

// Owners names the hosts that may dispatch to one target. Either may be empty.
type Owners struct {
	Owner   model.HostID
	Standby model.HostID
}

// Source returns the current view. Current never blocks and never returns nil.
type Source interface {
	Current() *View
}

// IsEvacuated reports whether the target is in an evacuated failure domain.
func (v *View) IsEvacuated(id model.TargetID) bool { return v.Fleet != nil && v.Fleet.IsEvacuated(id) }

// TakesWork reports whether the target may get new work: it is neither leaving nor
// evacuated.
func (v *View) TakesWork(id model.TargetID) bool {
	_, leaving := v.LeavingTargets[id]
	return !leaving && !v.IsEvacuated(id)
}
