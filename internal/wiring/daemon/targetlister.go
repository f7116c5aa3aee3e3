package daemon

import (
	"cmp"
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
)

// targetLister lists every published target with its state on this host.
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
	statuses := l.local.Status()
	targets := make([]adminapi.Target, 0, len(v.Fleet.Targets))
	for id, t := range v.Fleet.Targets {
		owners := v.Owners[id]
		target := adminapi.Target{Target: *t, Owner: owners.Owner, Standby: owners.Standby, State: stateOf(v, id, statuses)}
		if s, ok := statuses[id]; ok {
			target.Connections, target.Queue, target.Inflight = s.Connections, s.Queued, s.Inflight
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b adminapi.Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

func stateOf(v *view.View, id model.TargetID, statuses map[model.TargetID]dispatch.TargetStatus) adminapi.TargetState {
	s, known := statuses[id]
	_, leaving := v.LeavingTargets[id]
	switch {
	case v.IsEvacuated(id):
		return adminapi.TargetEvacuated
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
