package targetpool

import "time"

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
