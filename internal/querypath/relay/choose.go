package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// candidate returns the state of a pool's target for the choice of a replica.
func (e *Executor) candidate(p *targetpool.Pool, now time.Time) replica.Candidate {
	t := p.Target()
	return replica.Candidate{
		Load:    p.Load(now),
		Warming: p.Warming(now),
		Remote:  t.FailureDomain != e.opts.FailureDomain,
	}
}

// choice is a chosen target and its load at that time.
type choice struct {
	pool *targetpool.Pool
	load replica.Load
	// otherReady is set if another candidate has an idle connection.
	otherReady bool
}

// choose returns the best target of a group that is not in tried, or a choice with
// a nil pool if there is none. Targets that are unreachable, have moved or paused are
// excluded, those outside the route's home regions, cold ones for which this host has no
// permit, and leaving ones after the first attempt. Spare targets have a higher cost, so they
// are used only while those of the host's own share are slow, failing or gone.
func (e *Executor) choose(route *catalog.Route, g *targetpool.Group, tried []*targetpool.Pool, usual time.Duration, now time.Time) choice {
	size := len(g.Pools) + len(g.Spare)
	left := make([]*targetpool.Pool, 0, size)
	candidates := make([]replica.Candidate, 0, size)
	for i := range size {
		p, spare := g.At(i)
		if contains(tried, p) || !e.opts.Regions.Allows(route, p.Target().FailureDomain) {
			continue
		}
		c := e.candidate(p, now)
		if !c.Load.Usable() || c.Load.Leaving && len(tried) > 0 {
			continue
		}
		c.Spare = spare
		left = append(left, p)
		candidates = append(candidates, c)
	}
	best := e.opts.Policy.pick(candidates, usual)
	if best < 0 {
		return choice{}
	}
	chosen := choice{pool: left[best], load: candidates[best].Load}
	for i := range candidates {
		chosen.otherReady = chosen.otherReady || i != best && candidates[i].Load.Idle > 0
	}
	return chosen
}
