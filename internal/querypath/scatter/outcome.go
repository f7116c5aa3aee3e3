package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/querypath/gather"
)

// End is why a run ended.
type End uint8

const (
	// Complete means that every shard was merged or finally failed.
	Complete End = iota
	// Partial means that the policy's wait for stragglers passed and its coverage
	// was met.
	Partial
	// CoverageUnreachable means that the policy's coverage can't be reached any more.
	CoverageUnreachable
	// Expired means that the deadline passed.
	Expired
	// Abandoned means that the query's context was cancelled.
	Abandoned
)

// Outcome is the result of a run of one plan.
type Outcome struct {
	End      End
	Gathered *gather.Gatherer
	// CoverageMet reports whether at least one shard was merged and the coverage of
	// every policy was met.
	CoverageMet bool
	// Extra counts the hedges and retries sent.
	Extra int
	// SnapshotLost reports that a shard is missing because its replicas do not serve
	// the pinned snapshot.
	SnapshotLost bool
	// Waited is the longest time that the sub-request of a merged answer was queued.
	// Took is the longest time that a target took for one.
	Waited, Took time.Duration
	// Refused reports that a sub-request was refused because of a full queue, its
	// predicted wait or a target's load shedding.
	Refused bool
	// RetryAfter is the longest retry hint of the failed sub-requests.
	RetryAfter time.Duration
}
