package edge

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/hosts/gatherlink"
)

// helpersKept is how long links to helpers stay open after they were last needed.
const helpersKept = 10 * time.Second

// newHelpers returns the client that passes requests on while this host reaches too few
// targets.
func (e *Edge) newHelpers() *gatherlink.Client {
	return gatherlink.NewClient(gatherlink.Options{
		Self: e.self(), Log: e.opts.Log, Scope: e.metrics.scope, Regions: e.opts.Regions,
		Links: gathering.MaxGatherers, HandsOver: true,
	})
}

// lostShare returns the share of targets that this host can't reach.
func (e *Edge) lostShare() float64 { return e.directory.Links().State().Share() }

// updateHelpers opens links to other hosts once this host has lost many targets, and closes
// them some time after they are back.
func (e *Edge) updateHelpers() {
	now := time.Now()
	if reach.Doubtful(e.lostShare()) {
		e.helpersUntil.Store(now.Add(helpersKept).UnixNano())
	}
	if now.UnixNano() >= e.helpersUntil.Load() {
		e.helpers.SetHelpers(nil)
		return
	}
	e.helpers.SetHelpers(e.otherHosts())
}

// otherHosts returns hosts that may serve requests for this one: those that the fleet has
// named, or the readers.
func (e *Edge) otherHosts() []gathering.Member {
	others := slices.Clone(e.hub.Helpers())
	if len(others) == 0 {
		for _, addr := range e.opts.Readers() {
			others = append(others, gathering.Member{Addr: addr})
		}
	}
	return slices.DeleteFunc(others, func(m gathering.Member) bool { return m.Addr == e.opts.PeerAddr })
}
