package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// noAttempt ends a shard's linked list of attempts.
const noAttempt = -1

// shardState is the state of one shard within a run.
type shardState struct {
	// last is the index of the newest attempt, noAttempt before the first.
	last int32
	// outstanding counts attempts without an answer.
	outstanding int8
	attempts    int8
	// crashes counts the attempts during which the target crashed.
	crashes int8
	// decided is set once the shard was merged or finally failed.
	decided bool
	// retryPending is set while a retry is scheduled for retryAt.
	retryPending bool
	retryAt      time.Time
	// hedgeDenied is set once a hedge was refused for lack of budget, so that the
	// refusal is counted once.
	hedgeDenied bool
	// snapshotLost is set if the replica of the last failed attempt does not serve
	// the pinned snapshot.
	snapshotLost bool
}

// attempt is one sub-request of a run.
type attempt struct {
	target model.TargetID
	// prev is the index of the shard's previous attempt, or noAttempt.
	prev     int32
	answered bool
	cancel   func()
	sentAt   time.Time
}

// retryable reports whether a sub-request that failed for the reason may be
// retried.
func retryable(r verdict.Reason) bool {
	switch r {
	case verdict.Cancelled, verdict.DeadlinePassed, verdict.Quarantined, verdict.BadRequest,
		verdict.BodyTooLarge:
		return false
	default:
		return true
	}
}
