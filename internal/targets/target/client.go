// Package target is the tier's face towards targets. It holds no policy: one
// Conn is one connection, and one call on it is one exchange.
//
// The protocol is HTTP/1.1 with CBOR bodies. POST /v1/search carries a list of
// sub-requests and gets a list of answers of the same length and order, each
// echoing its exchange id. POST /v1/cancel names exchange ids to give up.
// GET /v1/load returns the load report; a new connection asks for it first.
//
// A reply list that does not match the request, item by item, is not used at
// all: each of its exchanges is Unknown with reason ReplyMismatch or
// ReplyTruncated. A connection that ends while the target has the request gives
// Unknown with reason TargetUnreachable.
package target

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
)

// Exchange is one sub-request on its way to a target.
type Exchange struct {
	ID      uint64
	Request *subquery.Request
}

// Conn is one connection to a target. It is used by one goroutine at a time.
type Conn interface {
	// Search sends the exchanges in one request and returns an answer for each,
	// in order. Failures of the connection are answers too: their verdict is
	// NotRun only if no byte was written. After Search returned an answer with
	// verdict Unknown the connection is Broken. Ending ctx breaks the exchange.
	Search(ctx context.Context, batch []Exchange) []*subquery.Answer
	// Cancel asks the target to give up the exchanges with these ids. They run
	// on another connection.
	Cancel(ctx context.Context, ids []uint64) error
	// Probe asks the target for its load report with no work.
	Probe(ctx context.Context) (subquery.Load, error)
	// Broken reports that the connection must be closed and not used again.
	Broken() bool
	// Close closes the connection.
	Close() error
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial opens one connection. It fails once timeout has passed.
	Dial(ctx context.Context, t *model.Target, timeout time.Duration) (Conn, error)
}
