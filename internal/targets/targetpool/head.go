package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// headTimeout bounds the time from the first byte of a reply to the end of its head. It
// covers a packet that is sent again after its loss.
const headTimeout = 1500 * time.Millisecond

// awaitHead waits until the head of a reply, whose first byte has arrived, is complete.
// It fails at once if what has arrived can't become a reply, and after headTimeout.
func (c *conn) awaitHead() error {
	if c.pool.heads == nil {
		return nil
	}
	limited := false
	for {
		begin, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		complete, err := c.checkHead(begin)
		if err != nil {
			return err
		}
		if complete {
			break
		}
		if !limited {
			limited = true
			c.limitRead(time.Now().Add(headTimeout))
		}
		if _, err := c.reader.Peek(len(begin) + 1); err != nil {
			return err
		}
	}
	if limited {
		c.limitRead(time.Time{})
	}
	return nil
}

func (c *conn) checkHead(begin []byte) (complete bool, err error) {
	defer panics.Catch(&err)
	return c.pool.heads.CheckHead(begin)
}

// limitRead makes reads fail at the given time, or, if that is earlier or at is zero,
// when the reply is no longer wanted.
func (c *conn) limitRead(at time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if at.IsZero() || c.readUntil.Before(at) {
		at = c.readUntil
	}
	if err := c.raw.SetReadDeadline(at); err != nil {
		go c.close()
	}
}
