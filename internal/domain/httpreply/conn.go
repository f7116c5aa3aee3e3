package httpreply

import (
	"bufio"
	"math"
	"net"
	"net/http"
	"strconv"
)

// connBufferBytes is the size of a Conn's read buffer, which bounds the heads of replies.
const connBufferBytes = 4 << 10

// maxReadBytes bounds one read of a body, so that a library which bounds bodies ends one that is too
// large soon.
const maxReadBytes = 32 << 10

var errBytesBehind = &InvalidError{Detail: "bytes behind a reply"}

// Conn is a client's connection that is read by an HTTP library. The library gets the heads and
// chunks of replies rewritten from what was parsed, so that it can read nothing else in them, and
// no interim replies; a read fails at the first byte that is not valid. Requests must not be
// HEAD, nor be sent before the reply to the one before has been read. What follows an upgrade to another protocol is not checked.
type Conn struct {
	net.Conn
	from *bufio.Reader
	head Head
	// rewritten has the bytes that are read next, then follow left bytes of a body.
	rewritten []byte
	left      int
	// next reads what follows these.
	next func() error
	// failed is the error of a reply that is not valid.
	failed error
	// upgrades is set if a reply may go on with another protocol.
	upgrades bool
}

// NewConn returns a connection that checks the replies from raw.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, from: bufio.NewReaderSize(raw, connBufferBytes)}
	c.next = c.readHead
	return c
}

// NewUpgradeConn is NewConn for requests that ask for an upgrade to another protocol.
func NewUpgradeConn(raw net.Conn) *Conn {
	c := NewConn(raw)
	c.upgrades = true
	return c
}

// NetConn returns the connection that is checked, for options of its socket.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It is called by one goroutine at a time.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.rewritten) == 0 && c.left == 0 {
		if c.failed != nil {
			return 0, c.failed
		}
		if err := c.next(); err != nil {
			return 0, c.fail(err)
		}
	}
	if len(c.rewritten) > 0 {
		n := copy(p, c.rewritten)
		c.rewritten = c.rewritten[n:]
		return n, nil
	}
	n, err := c.from.Read(p[:min(len(p), c.left, maxReadBytes)])
	c.left -= n
	return n, err
}

// fail keeps the error of an invalid reply, of which nothing more may be read.
func (c *Conn) fail(err error) error {
	if IsInvalid(err) {
		c.failed = err
	}
	return err
}

// readHead reads the head of a reply. What arrived together with the reply before came ahead of its
// request, and so belongs to none.
func (c *Conn) readHead() error {
	if c.from.Buffered() > 0 {
		return errBytesBehind
	}
	if err := c.readFinal(); err != nil {
		return err
	}
	if c.overfull() {
		c.head.Fields = append(c.head.Fields, Field{Name: []byte("Connection"), Value: []byte("close")})
	}
	c.rewritten = c.head.appendTo(c.rewritten[:0])
	switch {
	case c.head.Status == switchingProtocols, c.head.Length == ToEnd:
		c.left = math.MaxInt
	case c.head.Length == Chunked:
		c.next = c.readChunk
	default:
		c.left = c.head.Length
	}
	return nil
}

// readFinal reads the next head that the library may get.
func (c *Conn) readFinal() error {
	if c.upgrades {
		return c.head.Read(c.from)
	}
	return c.head.ReadFinal(c.from)
}

// overfull reports whether bytes behind the reply have already arrived, so that the library must not
// use the connection again.
func (c *Conn) overfull() bool {
	return c.head.Status != switchingProtocols && c.head.Length >= 0 && c.from.Buffered() > c.head.Length
}

// appendTo appends the head to dst. Of the body's length, it states what was parsed.
func (h *Head) appendTo(dst []byte) []byte {
	dst = append(append(append(dst, protocol...), h.minor, ' '), strconv.Itoa(h.Status)...)
	dst = append(append(append(dst, ' '), http.StatusText(h.Status)...), crlf...)
	for i := range h.Fields {
		f := &h.Fields[i]
		dst = append(append(dst, f.Name...), ": "...)
		dst = append(f.appendValue(dst), crlf...)
	}
	return append(dst, crlf...)
}

// appendValue appends the field's value, or the length that was parsed from it.
func (f *Field) appendValue(dst []byte) []byte {
	if !f.Is(contentLength) {
		return append(dst, f.Value...)
	}
	length, _ := parseLength(f.Value)
	return strconv.AppendInt(dst, int64(length), 10)
}

// readChunk reads the size of a chunk, and the trailer after the last one.
func (c *Conn) readChunk() error {
	size, err := readChunkSize(c.from)
	if err != nil {
		return err
	}
	c.rewritten = append(strconv.AppendInt(c.rewritten[:0], int64(size), 16), crlf...)
	c.left, c.next = size, c.readChunkEnd
	if size == 0 {
		c.next = c.readTrailer
	}
	return nil
}

// readChunkEnd reads the end of a chunk.
func (c *Conn) readChunkEnd() error {
	if err := endChunk(c.from); err != nil {
		return err
	}
	c.rewritten = append(c.rewritten[:0], crlf...)
	c.next = c.readChunk
	return nil
}

// readTrailer reads what ends a body in chunks.
func (c *Conn) readTrailer() error {
	if err := skipTrailer(c.from); err != nil {
		return err
	}
	c.rewritten = append(c.rewritten[:0], crlf...)
	c.next = c.readHead
	return nil
}
