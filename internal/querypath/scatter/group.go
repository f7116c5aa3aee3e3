package scatter

import (
	"math"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
)

// group is the shards of a query that one policy decides on: those of a service
// with a policy of its own, or all others.
type group struct {
	policy *config.Policy
	// open counts the shards not decided yet.
	open   int
	merged int
	// needed is how many must be merged.
	needed int
	// stragglersAt is when a partial answer becomes acceptable.
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
	of := make([]*group, len(p.Shards))
	for i := range p.Shards {
		of[i] = &groups[byService[p.Shards[i].Service]]
		of[i].open++
	}
	for i := range groups {
		g := &groups[i]
		g.needed = int(math.Ceil(g.policy.MinCoverage*float64(g.open) - coverageSlack))
		g.stragglersAt = now.Add(time.Duration(g.policy.StragglerWaitMS) * time.Millisecond)
	}
	return groups, of
}

// hopeless reports whether the coverage that the policy asks for is out of
// reach.
func (g *group) hopeless() bool { return g.merged+g.open < g.needed }

// enough reports whether the policy's coverage is met.
func (g *group) enough() bool { return g.merged >= g.needed }

// satisfied reports whether an answer may be given without the open shards.
func (g *group) satisfied(now time.Time) bool {
	return g.open == 0 || (g.enough() && !now.Before(g.stragglersAt))
}
