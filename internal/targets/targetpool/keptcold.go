package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
)

// maxKeptCold bounds the number of cold targets without a pool that are remembered.
const maxKeptCold = 8192

// keptCold is the warm-up of a target whose pool was closed: its entry in the store may vanish
// and return.
type keptCold struct {
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
	for start, kept := range c.kept {
		if len(c.kept) >= maxKeptCold || !now.Before(kept.until) {
			delete(c.kept, start)
		}
	}
	c.kept[startOf(p.target)] = keptCold{until: *p.coldUntil.Load(), sent: p.cold.sent}
}

// restore gives a new pool the warm-up of the same start of its target.
func (c *coldTargets) restore(p *Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, ok := c.kept[startOf(p.target)]
	if !ok {
		return
	}
	delete(c.kept, startOf(p.target))
	p.coldUntil.Store(&kept.until)
	p.cold.sent = kept.sent
	c.pools[p] = true
}
