package target

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

const (
	// maxReplyBytes bounds the body of one reply.
	maxReplyBytes = 64 << 20
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 16 << 10
	// controlTimeout bounds cancellations and probes.
	controlTimeout = 2 * time.Second
)

// httpConn implements Conn over HTTP/1.1.
type httpConn struct {
	conn   *countingConn
	addr   string
	salt   uint64
	reader *bufio.Reader
	writer *bufio.Writer
	req    fasthttp.Request
	// head and body are those of the last reply.
	head httpreply.Head
	body []byte
	// account counts the bytes of the reply that is read; nil without a bound. maxReply is the
	// largest body.
	account  *bytebudget.Account
	maxReply int
	items    []SearchItem
	reply    []AnswerItem
	broken   bool
}

var _ Conn = (*httpConn)(nil)

func newHTTPConn(raw net.Conn, addr string, d *HTTPDialer) *httpConn {
	counting := newCountingConn(raw)
	c := &httpConn{
		conn:     counting,
		addr:     addr,
		salt:     d.salt,
		maxReply: d.maxReply(),
		reader:   bufio.NewReaderSize(counting, bufferBytes),
		writer:   bufio.NewWriterSize(counting, bufferBytes),
	}
	c.req.KeepBodyBuffer = true
	c.account = d.Memory.NewAccount(func() { _ = raw.Close() })
	return c
}

// Broken implements Conn.
func (c *httpConn) Broken() bool { return c.broken }

// Close implements Conn.
func (c *httpConn) Close() error {
	c.broken = true
	return c.conn.Close()
}

// Cancel implements Conn.
func (c *httpConn) Cancel(ctx context.Context, ids []uint64) error {
	salted := make([]uint64, len(ids))
	for i, id := range ids {
		salted[i] = id ^ c.salt
	}
	body, err := Encode(salted)
	if err != nil {
		return eris.Wrap(err, "target: encode cancellation")
	}
	return c.control(ctx, fasthttp.MethodPost, PathCancel, body)
}

// Probe implements Conn.
func (c *httpConn) Probe(ctx context.Context) (subquery.Load, error) {
	var load subquery.Load
	if err := c.control(ctx, fasthttp.MethodGet, PathLoad, nil); err != nil {
		return load, err
	}
	if err := Decode(c.body, &load); err != nil {
		c.broken = true
		return load, eris.Wrap(err, "target: decode load report")
	}
	return load.Bounded(), nil
}

// control sends one HTTP request that carries no sub-request and requires status
// 200.
func (c *httpConn) control(ctx context.Context, method, path string, body []byte) error {
	if err := c.roundTrip(ctx, time.Now().Add(controlTimeout), method, path, body); err != nil {
		return eris.Wrapf(err, "target: %s %s at %s", method, path, c.addr)
	}
	if c.head.Status != fasthttp.StatusOK {
		c.broken = true
		return eris.Errorf("target: %s %s at %s: status %d", method, path, c.addr, c.head.Status)
	}
	return nil
}

// roundTrip sends one HTTP request and reads its response into c.head and c.body. The
// connection is broken after any error, unless ctx had ended before the request.
func (c *httpConn) roundTrip(ctx context.Context, deadline time.Time, method, path string, body []byte) error {
	c.conn.written = 0
	if c.broken {
		return net.ErrClosed
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if c.reader.Buffered() > 0 || !c.conn.idle() {
		c.broken = true
		return errNotIdle
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		c.broken = true
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	err := c.transfer(method, path, body)
	if !stop() || err != nil {
		c.broken = true
	}
	return err
}

// transfer writes the request and reads the response. It marks the connection as
// broken if the target closes it or sent more than the response.
func (c *httpConn) transfer(method, path string, body []byte) error {
	c.req.Reset()
	c.req.Header.SetMethod(method)
	c.req.Header.SetHost(c.addr)
	c.req.SetRequestURI(path)
	c.req.Header.SetContentType(ContentType)
	c.req.SetBodyRaw(body)
	if err := c.req.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if err := c.readReply(); err != nil {
		return err
	}
	if c.head.Closes || c.reader.Buffered() > 0 {
		c.broken = true
	}
	return nil
}

// readReply reads a response.
func (c *httpConn) readReply() (err error) {
	defer panics.Catch(&err)
	c.body = nil
	if err := c.head.ReadFinal(c.reader); err != nil {
		return err
	}
	c.account.Begin(time.Now(), 0, true)
	defer c.account.End()
	body, err := httpreply.ReadBody(c.reader, c.head.Length, exchange.BodyLimit{MaxBytes: c.maxReply, Take: c.account.Take})
	if errors.Is(err, net.ErrClosed) {
		// The reply was the slowest one when the bound was reached.
		return httpreply.ErrNoMemory
	}
	c.body = body
	return err
}
