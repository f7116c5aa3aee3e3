package admission

import (
	"sync/atomic"
	"time"
)

// Retry-After hints of refusals.
const (
	overloadRetryAfter = time.Second
	inflightRetryAfter = 200 * time.Millisecond
)

// fairShare limits the queries in flight on this host. Once the limit is reached,
// it still admits callers that are below an equal share of it, up to a reserve on
// top of the limit.
type fairShare struct {
	limit, reserve int64
	inflight       atomic.Int64
	// active is the number of callers with queries in flight.
	active atomic.Int64
}

// reserveDivisor is the ratio of the limit to the reserve.
const reserveDivisor = 8

func newFairShare(limit int) *fairShare {
	return &fairShare{limit: int64(limit), reserve: int64(max(1, limit/reserveDivisor))}
}

// enter admits a query of a caller that already has own queries in flight, and
// reports whether it did.
func (f *fairShare) enter(own int) bool {
	total := f.inflight.Add(1)
	active := f.active.Load()
	if own == 0 {
		active++
	}
	below := int64(own) < f.limit/max(1, active)
	if total > f.limit+f.reserve || (total > f.limit && !below) {
		f.inflight.Add(-1)
		return false
	}
	if own == 0 {
		f.active.Add(1)
	}
	return true
}

// leave ends a query of a caller that has own other queries in flight.
func (f *fairShare) leave(own int) {
	f.inflight.Add(-1)
	if own == 0 {
		f.active.Add(-1)
	}
}
