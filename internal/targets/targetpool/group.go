package targetpool

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Group holds the pools of one service's targets that accept new work.
type Group struct {
	Service catalog.ServiceName
	// Pools are the pools of the host's own share. Spare are the others, to which
	// the host connects only on demand.
	Pools []*Pool
	Spare []*Pool
	// Evacuated are the service's targets that are evacuated and would accept new work
	// otherwise.
	Evacuated []*catalog.Target
	extra     *guardedBudget
	demand    *serviceDemand
}

// guardedBudget is a budget with its lock. It is shared by all successive groups
// of its service.
type guardedBudget struct {
	mu     sync.Mutex
	budget *extrabudget.Budget
}

// At returns the i-th pool, the spare ones last, and whether it is spare.
func (g *Group) At(i int) (*Pool, bool) {
	if i < len(g.Pools) {
		return g.Pools[i], false
	}
	return g.Spare[i-len(g.Pools)], true
}

func (b *guardedBudget) setLimit(limit extrabudget.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetLimit(limit)
}

// CountDemand counts a request that callers want the service to serve, whether or not it is
// sent.
func (g *Group) CountDemand() { g.demand.requests.Add(1) }

// CountRequest counts one request to the service.
func (g *Group) CountRequest(now time.Time) {
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	g.extra.budget.AddRequest(now)
}

// TakeHedge reports whether the service's bound on extra load allows a second
// sub-request beside a late one, and counts it if so.
func (g *Group) TakeHedge(now time.Time) bool {
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	return g.extra.budget.TakeHedge(now)
}

// TakeRetry reports whether the bound allows another sub-request after a failed
// one, and counts it if so.
func (g *Group) TakeRetry(now time.Time) bool {
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	return g.extra.budget.TakeRetry(now)
}
