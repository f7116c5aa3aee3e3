package targetpool

import "time"

// surplusFor is how long a connection beyond the warm ones stays idle. Each
// counts at its target, which takes only so many from all hosts together.
const surplusFor = 3 * time.Second

// trimLater plans a look for surplus connections if there are any. The caller
// holds the lock.
func (p *Pool) trimLater() {
	if p.trimming || p.closed || len(p.idle) == 0 || len(p.conns) <= p.warm {
		return
	}
	p.trimming = true
	time.AfterFunc(surplusFor, p.trim)
}

// trim closes the surplus connections that were idle for too long.
func (p *Pool) trim() {
	now := time.Now()
	p.mu.Lock()
	p.trimming = false
	surplus := p.takeSurplus(now)
	p.trimLater()
	p.mu.Unlock()
	for _, c := range surplus {
		c.close()
	}
}

// takeSurplus removes the connections beyond the warm ones that were idle for
// too long; the first idle one was idle longest. The caller holds the lock.
func (p *Pool) takeSurplus(now time.Time) []*conn {
	var surplus []*conn
	for len(p.idle) > 0 && len(p.conns) > p.warm && now.Sub(p.idle[0].idleSince) >= surplusFor {
		c := p.idle[0]
		p.idle = p.idle[1:]
		delete(p.conns, c)
		surplus = append(surplus, c)
	}
	return surplus
}
