// Package instant provides targets that answer immediately, without I/O, to
// measure the overhead of the tier itself.
package instant

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// Dialer opens connections to targets that answer immediately, without I/O.
type Dialer struct{}

// Dial implements target.Dialer.
func (Dialer) Dial(context.Context, *model.Target, time.Duration) (target.Conn, error) {
	return conn{}, nil
}

// conn answers every exchange with the body of its request.
type conn struct{}

// Search implements target.Conn.
func (conn) Search(_ context.Context, batch []target.Exchange) []*subquery.Answer {
	answers := make([]*subquery.Answer, len(batch))
	for i := range batch {
		answers[i] = &subquery.Answer{Verdict: verdict.Ran, Snapshot: batch[i].Request.Snapshot, Body: batch[i].Request.Body}
	}
	return answers
}

// Cancel implements target.Conn.
func (conn) Cancel(context.Context, []uint64) error { return nil }

// Probe implements target.Conn.
func (conn) Probe(context.Context) (subquery.Load, error) { return subquery.Load{}, nil }

// Broken implements target.Conn.
func (conn) Broken() bool { return false }

// Close implements target.Conn.
func (conn) Close() error { return nil }
