package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// TargetStatus is the state of a target that this host dispatches to, as observed
// by this host.
type TargetStatus struct {
	// Connections counts this host's connections, including those being opened.
	Connections int
	// Queued and Inflight count sub-requests.
	Queued   int
	Inflight int
	Leaving  bool
	// Unreachable reports that the target could not be reached and the pause before
	// the next attempt has not passed.
	Unreachable bool
	// Starting reports that the target has recovered recently and is used with fewer
	// slots.
	Starting bool
}

// Status returns the state of every target that this host has a pool for.
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
		Starting:    !p.recoveredAt.IsZero(),
	}
}
