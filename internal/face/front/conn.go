package front

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

const (
	// writeTimeout bounds the writing of one answer to a slow caller.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the host still reads from a connection that it
	// closes: closing with unread input resets the connection, which can lose the
	// answer.
	lingerTimeout = 150 * time.Millisecond
	// firstRequestWait is how long after its start a connection without a request is kept
	// while idle ones are closed: callers send a request right after they connect.
	firstRequestWait = 250 * time.Millisecond
	// lastReadWait is how long an idle connection is read once more before it is closed.
	// A read that is interrupted does not return what has already arrived.
	lastReadWait = 5 * time.Millisecond
	// lingerBytes bounds the bytes read in this time.
	lingerBytes = 1 << 20
)

// conn is one caller's connection.
type conn struct {
	server *Server
	raw    net.Conn
	// input reads from raw, and reader from input. Only the reading goroutine replaces reader.
	input  *input
	reader *bufio.Reader
	// opened is when the connection was accepted.
	opened time.Time
	jobs   chan *job
	// served has an element once the last job has been answered.
	served chan struct{}
	// ended is closed when the serving goroutine accepts no more jobs.
	ended chan struct{}
	// requests counts the requests read. It is used by the reading goroutine.
	requests int
	// configured reports whether the limits that were read last are those of a configuration. It
	// is used by the reading goroutine.
	configured bool
	// pipelined is set while the beginning of the next request has arrived.
	pipelined atomic.Bool
	// account counts the bytes of the request and the answer; nil without a memory limit.
	account *bytebudget.Account

	mu sync.Mutex
	// idle is set while the connection waits for the first byte of a request.
	idle bool
	// serving is the job in progress, nil if there is none.
	serving *job
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{
		server: s, raw: raw, opened: time.Now(),
		jobs: make(chan *job), served: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	c.input = &input{raw: raw, timeout: func() time.Duration { return c.limits().HeaderTimeout }}
	c.reader = bufio.NewReaderSize(c.input, usualBufferBytes)
	c.account = s.opts.Memory.NewAccount(func() { go c.abort() })
	return c
}

// read is the reading goroutine: it passes on one request after the other and
// watches for the caller's close while each is served.
func (c *conn) read() {
	defer c.server.done.Done()
	defer close(c.jobs)
	for c.awaitRequest() {
		j := newJob()
		c.account.Begin(time.Now(), 0, false)
		request, err := c.readRequest()
		if err == nil && !c.takeRequest(request) {
			err = memoryFull()
		}
		if err != nil {
			c.reject(j, err)
			return
		}
		j.request = request
		c.requests++
		c.pipelined.Store(c.reader.Buffered() > 0)
		c.setReadDeadline(time.Time{})
		if !c.enqueue(j) {
			return
		}
		if request.LastOnConnection || !c.watchCaller(j) {
			c.watchClose(j)
			return
		}
	}
}

// readRequest reads a request whose first byte has arrived.
func (c *conn) readRequest() (request *exchange.Request, err error) {
	defer panics.Catch(&err)
	began := time.Now()
	c.input.begin(began)
	defer c.input.end()
	for {
		request, err = c.server.opts.Codec.ReadRequest(c.reader, c.limits, c.afterHeader)
		if !errors.Is(err, exchange.ErrSmallBuffer) {
			break
		}
		c.growBuffer()
	}
	if err != nil {
		return nil, c.rejection(err)
	}
	request.Arrived = began
	return request, nil
}

// rejection returns the error of a request. Before the host has a configuration it can't say that
// a request is too large.
func (c *conn) rejection(err error) error {
	if malformed, ok := errors.AsType[*exchange.Malformed](err); ok && malformed.TooLarge() && !c.configured {
		return &exchange.Malformed{
			Status: http.StatusServiceUnavailable, Reason: exchange.NoConfiguration, Detail: malformed.Detail, RetryAfter: exchange.RetryNoConfiguration,
		}
	}
	return err
}

// limits returns the limits in force.
func (c *conn) limits() catalog.Limits {
	limits, ok := c.server.opts.Handler.Limits()
	c.configured = ok
	if !ok {
		return defaultLimits
	}
	return limits
}

// awaitRequest waits for the first byte of a request and reports whether it came
// within the idle timeout. A timeout that rises during the wait takes effect at once. A lower one
// applies to the next wait: callers may still rely on the former.
func (c *conn) awaitRequest() bool {
	began := time.Now()
	c.shrinkBuffer()
	c.setIdle(true)
	for {
		until := began.Add(c.limits().IdleTimeout)
		if !time.Now().Before(until) {
			c.setIdle(false)
			return c.readPending()
		}
		c.setReadDeadline(until)
		_, err := c.reader.Peek(1)
		if err == nil {
			c.setIdle(false)
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.server.draining.Load() {
			return c.awaitLastRequest()
		}
	}
}

// awaitLastRequest reports whether a request has arrived on a connection that is about
// to be closed as idle. A connection that was just opened is given time to send its
// first request.
func (c *conn) awaitLastRequest() bool {
	c.setIdle(false)
	until := time.Now().Add(lastReadWait)
	if first := c.opened.Add(firstRequestWait); c.requests == 0 && first.After(until) {
		until = first
	}
	c.setReadDeadline(until)
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readPending()
	}
	return err == nil
}

// readPending reports whether a request has arrived that the process was too slow to read before
// the read's deadline.
func (c *conn) readPending() bool {
	if !pending(c.raw) {
		return false
	}
	c.setReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
	_, err := c.reader.Peek(1)
	return err == nil
}

// afterHeader restarts the read deadline for the body and, if the caller waits for
// it, sends 100 Continue.
func (c *conn) afterHeader(needsContinue bool) error {
	c.input.begin(time.Now())
	if !c.account.Take(requestBytes) {
		return memoryFull()
	}
	if !needsContinue {
		return nil
	}
	_, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// reject passes on a malformed or too slow request, which gets an error answer.
// Other read errors mean that there was no complete request to answer.
func (c *conn) reject(j *job, err error) {
	var malformed *exchange.Malformed
	switch {
	case errors.As(err, &malformed):
		j.malformed = malformed
	case panics.Is(err):
		j.malformed = &exchange.Malformed{Status: http.StatusInternalServerError, Reason: exchange.BadRequest, Detail: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.malformed = &exchange.Malformed{Status: 408, Reason: exchange.TooSlow, Detail: "the request was not read in time"}
	default:
		return
	}
	c.enqueue(j)
}

// enqueue passes a job to the serving goroutine and reports whether that goroutine
// still accepts jobs.
func (c *conn) enqueue(j *job) bool {
	select {
	case c.jobs <- j:
		return true
	case <-c.ended:
		return false
	}
}

// watchCaller waits until the request is answered and reports whether the
// connection is still open. If the caller closes it before that, the job's gone is
// closed.
func (c *conn) watchCaller(j *job) bool {
	if _, err := c.reader.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			j.withdraw()
		}
		return errors.Is(err, os.ErrDeadlineExceeded) && c.awaitAnswered()
	}
	c.pipelined.Store(true)
	return c.awaitAnswered()
}

// watchClose closes the job's gone if the caller closes the connection while the
// last request on it is served.
func (c *conn) watchClose(j *job) {
	select {
	case <-j.gone:
		return
	default:
	}
	if !j.request.LastOnConnection {
		return
	}
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		j.withdraw()
	}
}

// awaitAnswered waits until the request is answered and reports whether the
// connection accepts further requests.
func (c *conn) awaitAnswered() bool {
	select {
	case <-c.served:
		return true
	case <-c.ended:
		return false
	}
}

// serve is the serving goroutine: it answers jobs until the connection ends.
func (c *conn) serve() {
	defer c.server.done.Done()
	closed := c.serveJobs()
	c.account.End()
	if closed {
		c.closeAfterAnswer()
		return
	}
	c.close()
}

// serveJobs answers jobs until the reading goroutine has ended or an answer closes the
// connection. It reports the latter.
func (c *conn) serveJobs() bool {
	var out []byte
	for j := range c.jobs {
		var more bool
		out, more = c.answer(j, out[:0])
		if !more {
			return true
		}
		// The reading goroutine waits for the next byte without a deadline. A past
		// deadline interrupts it before it is signalled, so that this deadline
		// doesn't overwrite the idle timeout that it sets next.
		c.setReadDeadline(time.Unix(1, 0))
		c.served <- struct{}{}
	}
	return false
}

// answer serves one job and reports whether the connection accepts further
// requests. It returns out for reuse as a buffer.
func (c *conn) answer(j *job, out []byte) ([]byte, bool) {
	if j.malformed != nil {
		a := &exchange.Answer{
			Status: j.malformed.Status, Reason: j.malformed.Reason, RetryAfter: j.malformed.RetryAfter, CloseConnection: true,
		}
		c.server.opts.Log.WithError(j.malformed).Info("request was rejected while it was read")
		out = c.server.opts.Codec.AppendAnswer(out, nil, a)
		if err := c.write(out); err != nil {
			c.server.opts.Log.WithError(err).Info("a rejection was not written")
		}
		return out, false
	}
	a := c.serveRequest(j)
	c.server.opts.Observer.Answered(j.request, a, time.Since(j.request.Arrived))
	if a.Reason == exchange.CallerLeft {
		return out, false
	}
	if c.server.draining.Load() && !c.pipelined.Load() || j.request.LastOnConnection {
		a.CloseConnection = true
	}
	out = c.server.opts.Codec.AppendAnswer(out, j.request, a)
	if !c.beginAnswer(a, len(out)) {
		closes := a.CloseConnection
		a = withoutRoom(a)
		a.CloseConnection = closes
		out = c.server.opts.Codec.AppendAnswer(nil, j.request, a)
	}
	err := c.write(out)
	if err != nil {
		c.logUnwritten(j.request, err)
	}
	return c.endAnswer(out), err == nil && !a.CloseConnection
}

// write writes an answer.
func (c *conn) write(out []byte) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(out)
	return err
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

func (c *conn) setReadDeadline(at time.Time) {
	if err := c.raw.SetReadDeadline(at); err != nil {
		c.server.opts.Log.WithError(err).Debug("setting the read deadline of a caller's connection failed")
	}
}
