package targetpool

import "time"

// surplusIdleTimeout is how long a connection beyond the warm ones may stay idle.
// Each one counts against the target's connection limit, which all hosts share.
const surplusIdleTimeout = 3 * time.Second

// scheduleTrim schedules a check for surplus connections if there are any. The
// caller holds the lock.
func (p *Pool) scheduleTrim() {
	if p.trimScheduled || p.closed || len(p.idle) == 0 || len(p.conns) <= p.warm {
		return
	}
	p.trimScheduled = true
	time.AfterFunc(surplusIdleTimeout, p.trim)
}

// trim closes the surplus connections that were idle for surplusIdleTimeout.
func (p *Pool) trim() {
	now := time.Now()
	p.mu.Lock()
	p.trimScheduled = false
	surplus := p.takeSurplus(now)
	p.scheduleTrim()
	p.mu.Unlock()
	for _, c := range surplus {
		c.close()
	}
}

// takeSurplus removes and returns the connections beyond the warm ones that were
// idle for surplusIdleTimeout. The idle list begins with the one that was idle
// longest. The caller holds the lock.
func (p *Pool) takeSurplus(now time.Time) []*conn {
	var surplus []*conn
	for len(p.idle) > 0 && len(p.conns) > p.warm && now.Sub(p.idle[0].idleSince) >= surplusIdleTimeout {
		c := p.idle[0]
		p.idle = p.idle[1:]
		delete(p.conns, c)
		surplus = append(surplus, c)
	}
	return surplus
}
