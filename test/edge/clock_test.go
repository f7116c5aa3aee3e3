package edge_test

import (
	"sync"
	"time"
)

// manualClock advances only when told to.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
