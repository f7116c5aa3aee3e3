// Package target defines the target protocol and implements its client side. It
// holds no policy: a Conn is one connection, and a call on it is one HTTP request.
//
// The protocol is HTTP/1.1 with CBOR bodies. POST /v1/search carries a list of
// sub-requests and returns a list of answers of the same length and order, each
// echoing its exchange id. POST /v1/cancel carries the exchange ids to cancel.
// GET /v1/load returns the load report and is the first request on a connection.
//
// A reply list that does not match the request item by item is discarded: the
// verdict of all its exchanges is Unknown with reason ReplyMismatch or
// ReplyTruncated. If the connection ends while the target has the request, the
// verdict is Unknown with reason TargetUnreachable.
package target

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
)

// Exchange is one sub-request to a target.
type Exchange struct {
	ID      uint64
	Request *subquery.Request
}

// Conn is one connection to a target. It is used by one goroutine at a time.
type Conn interface {
	// Search sends the exchanges in one request and returns an answer for each,
	// in order. A failure of the connection is reported as answers, whose verdict
	// is NotRun only if no byte was written. After Search returned an answer with
	// verdict Unknown, the connection is Broken. It also is if ctx ends during
	// the request.
	Search(ctx context.Context, batch []Exchange) []*subquery.Answer
	// Cancel asks the target to cancel the exchanges with these ids, which run on
	// another connection.
	Cancel(ctx context.Context, ids []uint64) error
	// Probe requests the target's load report without sending work.
	Probe(ctx context.Context) (subquery.Load, error)
	// Broken reports whether the connection must be closed and not used again.
	Broken() bool
	// Close closes the connection.
	Close() error
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial opens one connection within timeout.
	Dial(ctx context.Context, t *model.Target, timeout time.Duration) (Conn, error)
}
