package targetpool

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Call is one request on its way to one target.
type Call struct {
	Request *exchange.Request
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// OnTime is until when the caller has full use of the reply. A call that
	// waits longer goes behind those that can still be in time.
	OnTime time.Time
	// Priority orders calls that wait for a connection; lower goes first.
	Priority int
	// Expected is the usual time of such a call; it tells a stall.
	Expected time.Duration
	// Done gets the outcome, once, from any goroutine. It must not block.
	Done func(Outcome)

	// The pool's lock guards these.
	conn      *conn
	sent      time.Time
	waiting   bool
	abandoned atomic.Bool
}

// Outcome is how a call ended.
type Outcome struct {
	// Reply is nil if there was none.
	Reply *exchange.Reply
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Err says why there is no reply.
	Err error
	// Connected is set where the call was the first on its connection.
	Connected bool
	// Sent is zero if no byte left the host.
	Sent  time.Time
	Ended time.Time
}
