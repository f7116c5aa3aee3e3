package front

import "time"

// abort closes the connection without writing what is left of an answer.
func (c *conn) abort() {
	if err := c.raw.SetDeadline(time.Unix(1, 0)); err != nil {
		c.server.opts.Log.WithError(err).Debug("ending a caller's transfer failed")
	}
}

// finish closes the connection: first the writing half, then, once the caller has
// closed its half or lingerTimeout has passed, the rest.
func (c *conn) finish() {
	close(c.ended)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setReadDeadline(time.Now().Add(lingerTimeout))
		for range c.jobs {
		}
		c.discardInput()
	}
	if err := c.raw.Close(); err != nil {
		c.server.opts.Log.WithError(err).Debug("closing a caller's connection failed")
	}
	c.server.remove(c)
}

// discardInput reads and discards up to about lingerBytes of further input.
func (c *conn) discardInput() {
	buf := make([]byte, 4<<10)
	for total := 0; total < lingerBytes; {
		n, err := c.raw.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}

// closeIfIdle interrupts the wait for a request, which ends the connection while
// the server is draining.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.setReadDeadline(time.Unix(1, 0))
	}
}
