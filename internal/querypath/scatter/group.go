package scatter

import (
	"math"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
)

// group holds the shards of a query that share a policy: those of one service
// with a policy of its own, or those of all other services.
type group struct {
	policy *config.Policy
	// open counts the shards that are neither merged nor finally failed.
	open   int
	merged int
	// needed is the number of merged shards that the policy's coverage requires.
	needed int
	// stragglersAt is the time from which a partial answer is allowed.
	stragglersAt time.Time
}

// newGroups returns the groups of a plan and the group of each shard.
func newGroups(p *plan.Plan, now time.Time) ([]group, []*group) {
	groups := make([]group, 1, 1+len(p.Services))
	groups[0].policy = &p.Policy
	byService := make(map[model.ServiceName]int, len(p.Services))
	for name, policy := range p.Services {
		byService[name] = len(groups)
		groups = append(groups, group{policy: policy})
	}
	groupOf := make([]*group, len(p.Shards))
	for i := range p.Shards {
		groupOf[i] = &groups[byService[p.Shards[i].Service]]
		groupOf[i].open++
	}
	for i := range groups {
		g := &groups[i]
		g.needed = int(math.Ceil(g.policy.MinCoverage*float64(g.open) - coverageSlack))
		g.stragglersAt = now.Add(time.Duration(g.policy.StragglerWaitMS) * time.Millisecond)
	}
	return groups, groupOf
}

// coverageUnreachable reports whether the open shards no longer suffice for the
// policy's coverage.
func (g *group) coverageUnreachable() bool { return g.merged+g.open < g.needed }

// coverageMet reports whether the policy's coverage is met.
func (g *group) coverageMet() bool { return g.merged >= g.needed }

// mayEnd reports whether the query may be answered without the open shards.
func (g *group) mayEnd(now time.Time) bool {
	return g.open == 0 || (g.coverageMet() && !now.Before(g.stragglersAt))
}
