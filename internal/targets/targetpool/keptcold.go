package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
)

// maxKeptCold bounds the number of cold targets without a pool that are remembered.
const maxKeptCold = 8192

// keptCold is the warm-up of a target whose pool was closed: its entry in the store may vanish
// and return, or state a start that the host has noticed before.
type keptCold struct {
	born  int64
	until time.Time
	sent  warmup.Window
}

// keep remembers the warm-up of a cold target whose pool is about to be closed.
func (c *coldTargets) keep(p *Pool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCold(now) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, kept := range c.kept {
		if len(c.kept) >= maxKeptCold || !now.Before(kept.until) {
			delete(c.kept, id)
		}
	}
	c.kept[p.target.ID] = keptCold{born: p.target.Born, until: *p.coldUntil.Load(), sent: p.cold.sent}
}

// restore gives a new pool the warm-up of the same start of its target. The count of requests
// also outlasts a start, because some may have gone to the new process before its entry came.
func (c *coldTargets) restore(p *Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, ok := c.kept[p.target.ID]
	if !ok {
		return
	}
	delete(c.kept, p.target.ID)
	p.cold.sent = kept.sent
	if kept.born == p.target.Born {
		p.coldUntil.Store(&kept.until)
		c.pools[p] = true
	}
}
