package daemon

import (
	"cmp"
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
)

// targetLister lists every published target with what this host knows of it.
type targetLister struct {
	views view.Source
	local *dispatch.Local
}

// Targets implements admin.TargetLister.
func (l targetLister) Targets() []adminapi.Target {
	v := l.views.Current()
	if v.Fleet == nil {
		return nil
	}
	held := l.local.Status()
	targets := make([]adminapi.Target, 0, len(v.Fleet.Targets))
	for id, t := range v.Fleet.Targets {
		owners := v.Owners[id]
		target := adminapi.Target{Target: *t, Owner: owners.Owner, Standby: owners.Standby, State: stateOf(v, id, held)}
		if s, ok := held[id]; ok {
			target.Connections, target.Queue, target.Inflight = s.Connections, s.Queued, s.Inflight
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b adminapi.Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

func stateOf(v *view.View, id model.TargetID, held map[model.TargetID]dispatch.TargetStatus) adminapi.TargetState {
	s, known := held[id]
	_, leaving := v.LeavingTargets[id]
	switch {
	case leaving || s.Leaving:
		return adminapi.TargetLeaving
	case !known:
		return adminapi.TargetUnknown
	case s.Unreachable:
		return adminapi.TargetUnreachable
	case s.Starting:
		return adminapi.TargetStarting
	default:
		return adminapi.TargetLive
	}
}
