package front

import "time"

// abort closes the connection without writing what is left of an answer.
func (c *conn) abort() {
	c.input.aborted.Store(true)
	if err := c.raw.SetDeadline(time.Unix(1, 0)); err != nil {
		c.server.opts.Log.WithError(err).Debug("ending a caller's transfer failed")
	}
}

// closeAfterAnswer closes the connection whose last answer was just written: first the writing
// half, then, once the caller has closed its half or lingerTimeout has passed, the rest. Input
// is discarded meanwhile, as closing with unread input could lose the answer.
func (c *conn) closeAfterAnswer() {
	close(c.ended)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setReadDeadline(time.Now().Add(lingerTimeout))
		for j := range c.jobs {
			c.logUnserved(j)
		}
		if n := c.discardInput(); n > 0 {
			c.logDiscarded(n)
		}
	}
	c.close()
}

// close closes the connection at once. A request that crosses the close is reset and not read,
// so that its caller can tell that it was not served.
func (c *conn) close() {
	if err := c.raw.Close(); err != nil {
		c.server.opts.Log.WithError(err).Debug("closing a caller's connection failed")
	}
	c.server.remove(c)
}

// discardInput reads and discards up to about lingerBytes of further input. It returns the
// number of bytes.
func (c *conn) discardInput() int {
	buf := make([]byte, 4<<10)
	total := c.reader.Buffered()
	for total < lingerBytes {
		n, err := c.raw.Read(buf)
		total += n
		if err != nil {
			break
		}
	}
	return total
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
