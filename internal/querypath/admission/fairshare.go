package admission

import (
	"sync/atomic"
	"time"
)

const (
	overloadRetryAfter = time.Second
	inflightRetryAfter = 200 * time.Millisecond
)

// fairShare bounds the queries in flight on this host. Above the limit only
// callers below an equal share get in, into a reserve on top of it.
type fairShare struct {
	limit, reserve int64
	inflight       atomic.Int64
	// active counts the callers with queries in flight.
	active atomic.Int64
}

// reserveShare is the inverse of the reserve's part of the limit.
const reserveShare = 8

func newFairShare(limit int) *fairShare {
	return &fairShare{limit: int64(limit), reserve: int64(max(1, limit/reserveShare))}
}

// enter counts a query of a caller that has own queries in flight.
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

// leave counts out a query of a caller that has own queries left.
func (f *fairShare) leave(own int) {
	f.inflight.Add(-1)
	if own == 0 {
		f.active.Add(-1)
	}
}
