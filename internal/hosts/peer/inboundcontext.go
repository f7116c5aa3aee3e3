package peer

import (
	"context"
	"sync"
	"time"
)

// inboundContext is the context of a received call. Its timer and channel are
// created by the first call of Done.
type inboundContext struct {
	deadline time.Time

	mu    sync.Mutex
	err   error
	done  chan struct{}
	timer *time.Timer
}

// Deadline implements context.Context.
func (c *inboundContext) Deadline() (time.Time, bool) { return c.deadline, !c.deadline.IsZero() }

// Value implements context.Context.
func (c *inboundContext) Value(any) any { return nil }

// Err implements context.Context.
func (c *inboundContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		c.endLocked(context.DeadlineExceeded)
	}
	return c.err
}

// Done implements context.Context.
func (c *inboundContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done != nil {
		return c.done
	}
	c.done = make(chan struct{})
	if c.err != nil {
		close(c.done)
		return c.done
	}
	if !c.deadline.IsZero() {
		c.timer = time.AfterFunc(time.Until(c.deadline), func() { c.end(context.DeadlineExceeded) })
	}
	return c.done
}

// end ends the context with err unless it has already ended.
func (c *inboundContext) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(err)
}

func (c *inboundContext) endLocked(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	if c.done != nil {
		close(c.done)
	}
	if c.timer != nil {
		c.timer.Stop()
	}
}
