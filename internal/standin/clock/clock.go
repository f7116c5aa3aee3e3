// Package clock provides clocks for tests of code that reads the time from a function.
package clock

import (
	"sync"
	"time"
)

// Manual advances only when told to, so that a slow machine ends no span early. It is safe
// for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that shows the current time.
func NewManual() *Manual { return &Manual{now: time.Now()} }

// Now returns the time that the clock shows.
func (c *Manual) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward.
func (c *Manual) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
