package targetpool

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Call is one request to one target.
type Call struct {
	Request *exchange.Request
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// OnTime is the time up to which the reply is of full use to the caller. A
	// call that still waits after it yields to those whose OnTime has not passed.
	OnTime time.Time
	// Priority orders calls that wait for a connection; lower goes first.
	Priority int
	// Expected is the usual duration of such a call, against which slow exchanges
	// and stalls are detected.
	Expected time.Duration
	// Work is the duration of such a call that waits for nothing, 0 if it is unknown.
	Work time.Duration
	// MaxReplyBytes bounds the body of the reply; 0 stands for the codec's own limit. It
	// applies only with a memory limit.
	MaxReplyBytes int
	// Answered is set once a target has answered the request with success, and shared by all
	// calls to its service; nil if nobody needs to know.
	Answered *atomic.Bool
	// Done receives the outcome at most once, on any goroutine. It must not block.
	Done func(Outcome)

	// The fields up to withdrawn are guarded by the pool's lock. withdrawn is set if the
	// call was cancelled without time to end.
	conn      *conn
	sent      time.Time
	waiting   bool
	withdrawn bool
	cancelled atomic.Bool
}

// Outcome is how a call ended.
type Outcome struct {
	// Reply is nil if there was none.
	Reply *exchange.Reply
	// Verdict tells whether the request may have run.
	Verdict verdict.Verdict
	// Err is the reason why there is no reply.
	Err error
	// FirstOnConn is set if the reply is the first one on its connection.
	FirstOnConn bool
	// Sent is zero if the request was not sent.
	Sent  time.Time
	Ended time.Time
}
