package relay

import (
	"sync"
	"time"
)

const (
	// patiencePeriod is how long the longest timeout of a route's callers is kept at
	// least.
	patiencePeriod = 5 * time.Second
	// connectLongest is the longest time that counts as spent on opening a connection.
	// Callers with a timeout shorter by more than that have spent it on earlier attempts
	// or have another timeout.
	connectLongest = 40 * time.Millisecond
)

// patience derives from the timeouts of a route's callers how long one of them has waited
// before its request arrived. The timeout that a request states is what is left of it, so
// one that had to open a connection first states less than one with an open connection.
type patience struct {
	mu sync.Mutex
	// longest and previous are the longest timeouts of the current and the previous
	// period, and turned is the start of the current one.
	longest  time.Duration
	previous time.Duration
	turned   time.Time
}

// spent records the timeout left to a request that arrived at now and returns how long its
// caller has spent on opening a connection; 0 if that isn't known.
func (p *patience) spent(left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.turned) > patiencePeriod {
		p.longest, p.previous, p.turned = 0, p.longest, now
	}
	p.longest = max(p.longest, left)
	spent := max(p.longest, p.previous) - left
	if spent > connectLongest {
		return 0
	}
	return spent
}
