package front

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// requestBytes is what is taken for a request before its body is read.
	requestBytes = 4 << 10
	// keptBufferBytes is the size up to which an answer is given even at the limit, and a
	// connection's buffer for answers is kept for the next one.
	keptBufferBytes = 64 << 10
	// retryMemoryFull is the Retry-After of a host at its memory limit. Within it some
	// slow transfers have ended.
	retryMemoryFull = 500 * time.Millisecond
)

// memoryFull returns the error for a request that is refused before its body is read.
func memoryFull() error {
	return &exchange.Malformed{
		Status: 503, Reason: exchange.MemoryFull, Detail: "the host is at its memory limit", RetryAfter: retryMemoryFull,
	}
}

// takeRequest counts a request that was read. It reports whether the host has room.
func (c *conn) takeRequest(r *exchange.Request) bool {
	return c.account.Take(len(r.Body) + len(r.Forward))
}

// beginAnswer counts an answer that is about to be written instead of its request, and
// reports whether the host has room for it. From now on the connection may be closed to
// make room, if its caller reads more slowly than others: the answer states its length.
func (c *conn) beginAnswer(a *exchange.Answer, size int) bool {
	if c.account == nil {
		return true
	}
	priority := 0
	if a.Trace != nil {
		priority = a.Trace.Priority
	}
	c.account.End()
	c.account.Begin(time.Now(), priority, true)
	if size <= keptBufferBytes {
		c.account.Force(size)
		return true
	}
	return c.account.Take(size)
}

// endAnswer gives back what the answer took and returns the buffer to keep.
func (c *conn) endAnswer(out []byte) []byte {
	if c.account == nil {
		return out
	}
	c.account.End()
	if cap(out) > keptBufferBytes {
		return nil
	}
	return out
}

// withoutRoom returns the answer to a request that has been served and whose answer the
// host can't hold.
func withoutRoom(served *exchange.Answer) *exchange.Answer {
	status := 502
	if served.Status == 503 {
		status = 503
	}
	return &exchange.Answer{Status: status, Reason: exchange.MemoryFull, RetryAfter: served.RetryAfter, Trace: served.Trace}
}
