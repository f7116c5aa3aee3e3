package scatter

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// noAttempt ends a shard's chain of attempts.
const noAttempt = -1

// shardState is one shard's progress within a run.
type shardState struct {
	// last is the newest attempt, noAttempt before the first.
	last int32
	// outstanding counts attempts without an answer.
	outstanding int8
	attempts    int8
	crashes     int8
	// decided is set once the shard was merged or has failed for good.
	decided bool
	// retryPending is set while a retry waits for retryAt.
	retryPending bool
	retryAt      time.Time
	// hedgeDenied is set once a hedge was refused for lack of budget.
	hedgeDenied bool
	// snapshotLost is set if the last failure was a missing snapshot.
	snapshotLost bool
}

// attempt is one sub-request of a run.
type attempt struct {
	target model.TargetID
	// prev is the shard's attempt before this one.
	prev     int32
	answered bool
	cancel   func()
	sentAt   time.Time
}

// retryable reports whether the reason allows the sub-request to be sent again.
func retryable(r verdict.Reason) bool {
	switch r {
	case verdict.Cancelled, verdict.DeadlinePassed, verdict.Quarantined, verdict.BadRequest,
		verdict.BodyTooLarge:
		return false
	default:
		return true
	}
}
