package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// maxHeldRequestBytes bounds the requests that this host has at one target at once, which
// would else exceed the target's memory. A single larger request is sent alone.
const maxHeldRequestBytes = 1 << 20

// memory is how a pool accounts for the bytes of its calls. The zero value has no limits.
type memory struct {
	budget *bytebudget.Budget
	// bounded reads replies within a limit; nil if the codec can't.
	bounded exchange.BoundedReader
	// held is the size of the requests in flight. It is guarded by the pool's lock.
	held int
}

func newMemory(opts *Options) memory {
	bounded, _ := opts.Codec.(exchange.BoundedReader)
	return memory{budget: opts.Memory, bounded: bounded}
}

// requestBytes returns what a call's request takes at its target.
func requestBytes(call *Call) int {
	return len(call.Request.Body) + len(call.Request.Forward) + len(call.Request.URI)
}

// fits reports whether the target may get the call's request beside those in flight. The
// pool's lock is held.
func (m *memory) fits(call *Call) bool {
	return m.budget == nil || m.held == 0 || m.held+requestBytes(call) <= maxHeldRequestBytes
}

// initMemory prepares the connection's account, if the host has a memory limit.
func (c *conn) initMemory() {
	m := &c.pool.memory
	if m.budget == nil || m.bounded == nil {
		return
	}
	c.account = m.budget.NewAccount(func() { go c.close() })
	c.takeBytes = c.account.Take
}

// readReply reads the reply to the call. Its body counts as held until endReply.
func (c *conn) readReply(call *Call) (reply *exchange.Reply, err error) {
	defer panics.Catch(&err)
	if c.account == nil {
		return c.pool.codec.ReadReply(c.reader, call.Request.Bodyless())
	}
	c.account.Begin(time.Now(), call.Priority, true)
	limit := exchange.BodyLimit{MaxBytes: call.MaxReplyBytes, Take: c.takeBytes}
	reply, err = c.pool.memory.bounded.ReadReplyWithin(c.reader, call.Request.Bodyless(), limit)
	if tooLarge, ok := exchange.AsOversizedReply(err); ok {
		c.pool.memory.budget.Refused(bytebudget.ReasonReplyTooLarge, int64(tooLarge.Bytes))
	}
	return reply, err
}
