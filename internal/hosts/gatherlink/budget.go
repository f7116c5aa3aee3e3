package gatherlink

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// budget bounds the sweeps that are passed on once more although a gatherer has accepted
// them: each is one extra request for each of its shards. Sweeps are counted by their
// first shard. It is safe for concurrent use.
type budget struct {
	mu        sync.Mutex
	limit     extrabudget.Limit
	byService map[catalog.ServiceName]*extrabudget.Budget
}

// maxBudgets bounds the number of budgets; beyond it all are started anew.
const maxBudgets = 4096

func newBudget() *budget {
	return &budget{byService: map[catalog.ServiceName]*extrabudget.Budget{}}
}

// SetExtra sets this host's share of the extra load. Its Window must be positive.
func (c *Client) SetExtra(limit extrabudget.Limit) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.limit = limit
	for _, b := range c.budget.byService {
		b.SetLimit(limit)
	}
}

// of returns the budget of a route, nil before SetExtra. The caller holds the lock.
func (b *budget) of(route *catalog.Route, now time.Time) *extrabudget.Budget {
	if b.limit.Window <= 0 {
		return nil
	}
	service := firstService(route)
	found, ok := b.byService[service]
	if !ok {
		if len(b.byService) >= maxBudgets {
			clear(b.byService)
		}
		found = extrabudget.New(b.limit, now)
		b.byService[service] = found
	}
	return found
}

// firstService returns the service by which the requests of a route are counted.
func firstService(route *catalog.Route) catalog.ServiceName {
	switch {
	case route.Sweep():
		return route.Shards[0]
	case len(route.Split) > 0:
		return route.Split[0].Service
	default:
		return ""
	}
}

// count counts a sweep that is passed on for the first time.
func (b *budget) count(route *catalog.Route, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if found := b.of(route, now); found != nil {
		found.AddRequest(now)
	}
}

// take reports whether a sweep may be passed on once more, and counts it if so.
func (b *budget) take(route *catalog.Route, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.of(route, now)
	return found != nil && found.TakeRetry(now)
}
