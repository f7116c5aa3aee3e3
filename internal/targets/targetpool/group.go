package targetpool

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Group holds the pools of one service's targets that take new work.
type Group struct {
	Service catalog.ServiceName
	// Pools are those of the host's own share, Spare the others, to which it
	// connects only when it needs them.
	Pools []*Pool
	Spare []*Pool
	extra *guardedBudget
}

// guardedBudget outlives the groups of its service.
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

func (b *guardedBudget) setShare(slack, offset float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetShare(slack, offset)
}

// CountRequest counts one request for the service.
func (g *Group) CountRequest(now time.Time) {
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	g.extra.budget.AddRequest(now)
}

// TakeHedge counts a second sub-request beside a late one, and reports whether
// the service's bound on extra load allows it.
func (g *Group) TakeHedge(now time.Time) bool {
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	return g.extra.budget.TakeHedge(now)
}

// TakeRetry does the same for one after a failed sub-request.
func (g *Group) TakeRetry(now time.Time) bool {
	g.extra.mu.Lock()
	defer g.extra.mu.Unlock()
	return g.extra.budget.TakeRetry(now)
}
