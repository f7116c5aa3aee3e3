package targetpool

import (
	"math"
	"time"
)

const (
	// urgentFor is how long after an urgent call a connection is kept free of less urgent
	// ones.
	urgentFor = time.Second
	// reservingConns is the least number of usable connections of which one is reserved.
	reservingConns = 2
)

// urgency remembers the most urgent priority of recent calls. It answers long-running
// work of less urgent routes that occupies all connections of a target which more urgent
// calls need, too.
type urgency struct {
	priority int
	at       time.Time
}

// note records a call.
func (u *urgency) note(priority int, now time.Time) {
	if priority <= u.priority || now.Sub(u.at) >= urgentFor {
		u.priority, u.at = priority, now
	}
}

// leastUrgent returns the priority up to which calls may be sent now. While the target is
// congested, the last usable connection is reserved for the most urgent recent calls. The
// caller holds the lock.
func (p *Pool) leastUrgent(now time.Time) int {
	if p.unreserved {
		return math.MaxInt
	}
	usable := p.usableConns(now)
	reserving := usable >= reservingConns && now.Sub(p.urgency.at) < urgentFor && p.stats.Congested()
	if reserving && p.inUse() >= usable-1 {
		return p.urgency.priority
	}
	return math.MaxInt
}

// setReserving sets whether a connection may be reserved for urgent calls.
func (p *Pool) setReserving(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreserved = !on
}

// Crowding describes what calls wait for.
type Crowding struct {
	// Queued is set while calls wait and all usable connections carry calls.
	Queued bool
	// Crowded is set while requests wait at the target itself, see replica.Stats.
	Crowded bool
	// OwnTime is the time that the target recently took at best, 0 if it is unknown.
	OwnTime time.Duration
}

// Crowding returns what calls to the target wait for. One that has not replied for much
// longer than usual is silent rather than crowded; expected is the usual time of a call and
// work that of one that waits for nothing.
func (p *Pool) Crowding(now time.Time, expected, work time.Duration) Crowding {
	load := p.Load(now)
	if load.Silent(expected) || !load.Usable() {
		return Crowding{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return Crowding{
		Queued:  len(p.waiting) > 0 && p.inUse() >= p.usableConns(now),
		Crowded: p.stats.Crowded(), OwnTime: p.stats.OwnTime(work),
	}
}
