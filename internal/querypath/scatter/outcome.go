package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/querypath/gather"
)

// End says why a query was over.
type End uint8

const (
	// Complete means that every shard was merged or has failed for good.
	Complete End = iota
	// Partial means that the policy's wait for stragglers passed.
	Partial
	// Hopeless means that the policy's coverage is out of reach.
	Hopeless
	// Expired means that the deadline passed.
	Expired
	// Abandoned means that the caller gave up.
	Abandoned
)

// Outcome is what a run of one plan came to.
type Outcome struct {
	End      End
	Gathered *gather.Gatherer
	// Enough reports whether the policy's coverage was met.
	Enough bool
	// Extra counts the hedges and retries sent.
	Extra int
	// SnapshotLost reports that shards are missing because no replica serves the
	// pinned snapshot any more.
	SnapshotLost bool
	// Waited is the longest time that a merged answer was queued, and Took the
	// longest time that a target took for one.
	Waited, Took time.Duration
	// Refused reports that sub-requests were refused for lack of room.
	Refused bool
	// RetryAfter is the longest hint of the failed sub-requests.
	RetryAfter time.Duration
}
