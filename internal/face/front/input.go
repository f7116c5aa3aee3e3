package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// usualBufferBytes is the size of a connection's read buffer while headers fit it.
	usualBufferBytes = 17 << 10
	// bufferSlack is the buffer space beyond the largest header, in bytes.
	bufferSlack = 1 << 10
)

// input reads a caller's connection. While a request is read, the time for it is the one in force
// at the moment of use. It is used by the reading goroutine alone, but for aborted.
type input struct {
	raw net.Conn
	// timeout returns the time for a header and, counted anew, a body.
	timeout func() time.Duration
	// since is when the time began, zero while no request is read.
	since time.Time
	// aborted is set once reads must not go on.
	aborted atomic.Bool
}

// begin starts the time for a header or a body.
func (i *input) begin(now time.Time) {
	i.since = now
	i.extend()
}

// end ends the time for a request. The deadline of the connection stays.
func (i *input) end() { i.since = time.Time{} }

// Read implements io.Reader.
func (i *input) Read(p []byte) (int, error) {
	for {
		n, err := i.raw.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !i.extend() {
			return n, err
		}
	}
}

// extend sets the read deadline by the timeout in force and reports whether it is still to come.
func (i *input) extend() bool {
	if i.since.IsZero() {
		return false
	}
	until := i.since.Add(i.timeout())
	if err := i.raw.SetReadDeadline(until); err != nil {
		return false
	}
	if i.aborted.Load() {
		_ = i.raw.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // a closed connection ends the read too
		return false
	}
	return time.Now().Before(until)
}

// growBuffer replaces the buffer by a larger one with the same content, up to what the largest
// header needs.
func (c *conn) growBuffer() {
	c.resizeBuffer(min(2*c.reader.Size(), max(c.limits().MaxHeaderBytes, c.reader.Size())+bufferSlack))
}

// shrinkBuffer gives back the buffer of a large header.
func (c *conn) shrinkBuffer() {
	if c.reader.Size() > usualBufferBytes && c.reader.Buffered() == 0 {
		c.resizeBuffer(usualBufferBytes)
	}
}

func (c *conn) resizeBuffer(size int) {
	held, _ := c.reader.Peek(c.reader.Buffered()) //nolint:errcheck // these bytes are there
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.input), size)
}
