// Package subquery defines the unit of work that the entry role sends to the
// dispatch role: one shard of one query, to be run on one target.
package subquery

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Request is one sub-request.
type Request struct {
	RequestID string             `cbor:"1,keyasint"`
	Caller    model.CallerID     `cbor:"2,keyasint"`
	Workload  model.WorkloadName `cbor:"3,keyasint"`
	Service   model.ServiceName  `cbor:"4,keyasint"`
	Shard     model.ShardID      `cbor:"5,keyasint"`
	Target    model.TargetID     `cbor:"6,keyasint"`
	Snapshot  model.SnapshotID   `cbor:"7,keyasint"`
	Body      []byte             `cbor:"8,keyasint"`
	// Idempotent is set if the request may share an exchange with others and may
	// be resent.
	Idempotent bool `cbor:"9,keyasint"`
	// Deadline is on this process's monotonic clock. Between processes the
	// remaining time is sent instead.
	Deadline time.Time `cbor:"-"`
}

// Load is what a target reports about itself with every answer.
type Load struct {
	Inflight int `cbor:"1,keyasint"`
	Queued   int `cbor:"2,keyasint"`
	// Leaving is set once the target accepts no new work.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Oldest and Newest bound the snapshots that the target holds; zero means
	// not reported.
	Oldest model.SnapshotID `cbor:"4,keyasint,omitempty"`
	Newest model.SnapshotID `cbor:"5,keyasint,omitempty"`
}

// Bounded returns the load with counts whose sums and products fit an int64. What decodes a load
// applies it.
func (l Load) Bounded() Load {
	l.Inflight, l.Queued = bounds.Count(l.Inflight), bounds.Count(l.Queued)
	return l
}

// Answer is the outcome of one Request. It succeeded if and only if Reason is
// empty; then Verdict is Ran and Body holds the whole result.
type Answer struct {
	Verdict    verdict.Verdict  `cbor:"1,keyasint"`
	Reason     verdict.Reason   `cbor:"2,keyasint,omitempty"`
	Message    string           `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration    `cbor:"4,keyasint,omitempty"`
	Snapshot   model.SnapshotID `cbor:"5,keyasint,omitempty"`
	Body       []byte           `cbor:"6,keyasint,omitempty"`
	Load       Load             `cbor:"7,keyasint"`
	// Waited is the time spent in the queue before the request was sent.
	Waited time.Duration `cbor:"8,keyasint,omitempty"`
	// Took is the time from sending the request to the target's answer.
	Took time.Duration `cbor:"9,keyasint,omitempty"`
}

// Bound keeps the numbers of another host's answer in ranges in which their sums and products don't
// overflow.
func (a *Answer) Bound() {
	for _, d := range []*time.Duration{&a.RetryAfter, &a.Waited, &a.Took} {
		*d = bounds.Period(int64(*d), time.Nanosecond)
	}
	a.Load = a.Load.Bounded()
}

// OK reports whether the sub-request succeeded.
func (a *Answer) OK() bool { return a.Reason == "" }

// Dispatcher runs sub-requests on targets. Submit never blocks. It calls done
// exactly once, from any goroutine, possibly before Submit returns. Calling
// cancel requests cancellation of the sub-request; done is still called, with
// reason Cancelled unless the answer was already available. done must not block.
type Dispatcher interface {
	Submit(req *Request, done func(*Answer)) (cancel func())
}
