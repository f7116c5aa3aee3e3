package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// item is one sub-request in a pool.
type item struct {
	// id identifies the sub-request in cancellations to the target. It is unique
	// among the sub-requests of a Local.
	id   uint64
	req  *subquery.Request
	done func(*subquery.Answer)
	// queuedAt is set before the item is queued, startedAt before its exchange.
	queuedAt, startedAt time.Time
	// taken is set, under the pool's lock, once the item no longer waits in the
	// queue.
	taken    bool
	finished atomic.Bool
	// answer is set by the worker before it calls finish.
	answer *subquery.Answer
}

// finish calls done with the answer unless the item is already finished. It
// reports whether it called done. It must not be called with the pool's lock held.
func (i *item) finish(a *subquery.Answer) bool {
	if !i.finished.CompareAndSwap(false, true) {
		return false
	}
	i.done(a)
	return true
}

// notRunAnswer returns an answer for a sub-request that did not run.
func notRunAnswer(r verdict.Reason, retryAfter time.Duration) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.NotRun, Reason: r, RetryAfter: retryAfter}
}

// unknownAnswer returns an answer for a sub-request that may have run.
func unknownAnswer(r verdict.Reason) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Unknown, Reason: r}
}
