package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// maxGated is the maximum number of groups. Beyond it, further ones are not limited.
	maxGated = 4096
	// limitLogInterval is the time between two log lines of a limited group.
	limitLogInterval = time.Second
	// limitLinesPerSecond bounds these lines over all groups.
	limitLinesPerSecond = 10
)

// gate admits requests to groups of targets before any work on them: to the shards of an
// index, named by the first shard, and to the service of a single request. It is safe for
// concurrent use and starts no goroutines; limits change when requests come and end, and
// by Executor.ExpireLimits.
type gate struct {
	log   logrus.FieldLogger
	scope metrics.Scope
	lines *logging.Budget

	mu     sync.RWMutex
	groups map[catalog.ServiceName]*gated
}

func newGate(log logrus.FieldLogger, scope metrics.Scope) *gate {
	return &gate{log: log, scope: scope, lines: logging.NewBudget(limitLinesPerSecond), groups: map[catalog.ServiceName]*gated{}}
}

// gated is a group with its lock.
type gated struct {
	name catalog.ServiceName

	mu    sync.Mutex
	group *overload.Group
	// limited is whether the group was limited when it was last logged, at logged.
	limited bool
	logged  time.Time
}

// admission is a request that was admitted.
type admission struct {
	gate   *gate
	group  *gated
	ticket overload.Ticket
	// limited is set if the group was limited.
	limited bool
}

// admit decides about a request to a group. It returns the admission, or nil and when the
// caller should come back.
func (g *gate) admit(name catalog.ServiceName, r overload.Request, now time.Time) (*admission, time.Duration) {
	group := g.of(name, now)
	if group == nil {
		return &admission{}, 0
	}
	group.mu.Lock()
	decision := group.group.Admit(now, r)
	limited := group.group.Limited()
	due := group.logDue(limited, now)
	group.mu.Unlock()
	if limited {
		g.count(r.Rank, decision.Admitted)
	}
	if due {
		g.note(group, now)
	}
	if !decision.Admitted {
		return nil, decision.RetryAfter
	}
	return &admission{gate: g, group: group, ticket: decision.Ticket, limited: limited}, 0
}

// ended records how the request ended.
func (a *admission) ended(now time.Time, result overload.Result) {
	if a.group == nil {
		return
	}
	a.group.mu.Lock()
	a.group.group.Ended(now, a.ticket, result)
	due := a.group.logDue(a.group.group.Limited(), now)
	a.group.mu.Unlock()
	if due {
		a.gate.note(a.group, now)
	}
}

// of returns a group, nil if there are too many.
func (g *gate) of(name catalog.ServiceName, now time.Time) *gated {
	g.mu.RLock()
	found := g.groups[name]
	g.mu.RUnlock()
	if found != nil {
		return found
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if found = g.groups[name]; found != nil || len(g.groups) >= maxGated {
		return found
	}
	found = &gated{name: name, group: overload.NewGroup(now)}
	g.groups[name] = found
	return found
}

// all returns all groups.
func (g *gate) all() []*gated {
	g.mu.RLock()
	defer g.mu.RUnlock()
	list := make([]*gated, 0, len(g.groups))
	for _, group := range g.groups {
		list = append(list, group)
	}
	return list
}

// count counts a request to a limited group by its rank.
func (g *gate) count(rank int, admitted bool) {
	scope := g.scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)})
	scope.Counter("overload_offered").Inc(1)
	if admitted {
		scope.Counter("overload_admitted").Inc(1)
		return
	}
	scope.Counter("overload_refused").Inc(1)
}
