package front

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// bufferSlack is room behind the largest header.
	bufferSlack = 1 << 10
	// writeTimeout bounds one answer to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection that the host closes is read on,
	// so that the answer is not lost to a reset.
	lingerTimeout = 150 * time.Millisecond
	// lingerBytes bounds what is read meanwhile.
	lingerBytes = 1 << 20
)

// job is what the reading goroutine hands to the serving one.
type job struct {
	request   *exchange.Request
	malformed *exchange.Malformed
	gone      chan struct{}
}

// conn is one caller's connection.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	jobs   chan job
	// served has a token once the last job was answered.
	served chan struct{}
	// ended is closed when the serving goroutine takes no more jobs.
	ended chan struct{}

	mu sync.Mutex
	// idle is set while no request was begun.
	idle bool
}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{
		server: s, raw: raw,
		reader: bufio.NewReaderSize(raw, s.limits().MaxHeaderBytes+bufferSlack),
		jobs:   make(chan job), served: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// read is the reading goroutine.
func (c *conn) read() {
	defer c.server.done.Done()
	defer close(c.jobs)
	for c.awaitRequest() {
		j := job{gone: make(chan struct{})}
		limits := c.server.limits()
		c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
		request, err := c.server.opts.Codec.ReadRequest(c.reader, limits, c.afterHeader)
		if err != nil {
			c.rejected(j, err)
			return
		}
		j.request = request
		c.setReadDeadline(time.Time{})
		if !c.hand(j) {
			return
		}
		if request.LastOnConnection || !c.watch(j) {
			c.watchClose(j)
			return
		}
	}
}

// awaitRequest waits for the first byte of a request within the idle time-out,
// which may change meanwhile.
func (c *conn) awaitRequest() bool {
	began := time.Now()
	c.setIdle(true)
	for {
		until := began.Add(c.server.limits().IdleTimeout)
		if !time.Now().Before(until) {
			return false
		}
		c.setReadDeadline(until)
		_, err := c.reader.Peek(1)
		if err == nil {
			c.setIdle(false)
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.server.stopping.Load() {
			return false
		}
	}
}

// afterHeader gives the body its own time.
func (c *conn) afterHeader(needsContinue bool) error {
	c.setReadDeadline(time.Now().Add(c.server.limits().HeaderTimeout))
	if !needsContinue {
		return nil
	}
	_, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// rejected answers a request that could not be read, if there was one.
func (c *conn) rejected(j job, err error) {
	var malformed *exchange.Malformed
	switch {
	case errors.As(err, &malformed):
		j.malformed = malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.malformed = &exchange.Malformed{Status: 408, Reason: exchange.TooSlow, Detail: "the request was not read in time"}
	default:
		return
	}
	c.hand(j)
}

func (c *conn) hand(j job) bool {
	select {
	case c.jobs <- j:
		return true
	case <-c.ended:
		return false
	}
}

// watch waits until the request is answered and reports whether the connection
// is still open. If the caller leaves before, the request's gone is closed.
func (c *conn) watch(j job) bool {
	if _, err := c.reader.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			close(j.gone)
		}
		return errors.Is(err, os.ErrDeadlineExceeded) && c.answered()
	}
	return c.answered()
}

// watchClose does the same for the last request on the connection.
func (c *conn) watchClose(j job) {
	select {
	case <-j.gone:
		return
	default:
	}
	if !j.request.LastOnConnection {
		return
	}
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		close(j.gone)
	}
}

// answered waits for the end of the request's service and reports whether the
// connection serves on.
func (c *conn) answered() bool {
	select {
	case <-c.served:
		return true
	case <-c.ended:
		return false
	}
}

// serve is the serving goroutine.
func (c *conn) serve() {
	defer c.server.done.Done()
	defer c.finish()
	var out []byte
	for j := range c.jobs {
		var more bool
		out, more = c.answer(j, out[:0])
		if !more {
			return
		}
		// The reader waits for the next byte without a deadline: it is woken
		// first, so that the idle time-out that it sets stays in force.
		c.setReadDeadline(time.Unix(1, 0))
		c.served <- struct{}{}
	}
}

// answer serves one job and reports whether the connection serves on.
func (c *conn) answer(j job, out []byte) ([]byte, bool) {
	if j.malformed != nil {
		a := &exchange.Answer{Status: j.malformed.Status, Reason: j.malformed.Reason, CloseConnection: true}
		c.server.opts.Log.WithError(j.malformed).Info("request was not read")
		out = c.server.opts.Codec.AppendAnswer(out, nil, a)
		return out, c.write(out) && false
	}
	a := c.server.opts.Handler.Serve(j.request, j.gone)
	c.server.opts.Observer.Answered(j.request, a, time.Since(j.request.Arrived))
	if a.Reason == exchange.CallerLeft {
		return out, false
	}
	if c.server.stopping.Load() || j.request.LastOnConnection {
		a.CloseConnection = true
	}
	out = c.server.opts.Codec.AppendAnswer(out, j.request, a)
	return out, c.write(out) && !a.CloseConnection
}

func (c *conn) write(out []byte) bool {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	_, err := c.raw.Write(out)
	return err == nil
}

// finish closes the connection: first the writing half, then, once the caller
// has closed its half or a short time has passed, the rest.
func (c *conn) finish() {
	close(c.ended)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setReadDeadline(time.Now().Add(lingerTimeout))
		for range c.jobs {
		}
		c.drain()
	}
	if err := c.raw.Close(); err != nil {
		c.server.opts.Log.WithError(err).Debug("close of a caller's connection")
	}
	c.server.remove(c)
}

// drain reads what the caller still sends.
func (c *conn) drain() {
	buf := make([]byte, 4<<10)
	for total := 0; total < lingerBytes; {
		n, err := c.raw.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.setReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

func (c *conn) setReadDeadline(at time.Time) {
	if err := c.raw.SetReadDeadline(at); err != nil {
		c.server.opts.Log.WithError(err).Debug("deadline of a caller's connection")
	}
}
