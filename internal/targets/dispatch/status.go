package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// TargetStatus is what this host knows of a target that it dispatches to.
type TargetStatus struct {
	Connections int
	// Queued and Inflight count sub-requests.
	Queued   int
	Inflight int
	Leaving  bool
	// Unreachable says that no connection can be opened at present.
	Unreachable bool
	// Starting says that the target came back lately and gets little work.
	Starting bool
}

// Status returns the state of every target that this host holds a pool for.
func (l *Local) Status() map[model.TargetID]TargetStatus {
	pools := *l.pools.Load()
	status := make(map[model.TargetID]TargetStatus, len(pools))
	for id, p := range pools {
		status[id] = p.status(time.Now())
	}
	return status
}

func (p *pool) status(now time.Time) TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return TargetStatus{
		Connections: p.connections,
		Queued:      p.waiting,
		Inflight:    p.running,
		Leaving:     p.leaving,
		Unreachable: now.Before(p.downUntil),
		Starting:    !p.returnedAt.IsZero(),
	}
}
