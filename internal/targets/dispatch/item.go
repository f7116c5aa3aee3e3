package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// item is one sub-request in a pool.
type item struct {
	id   uint64
	req  *subquery.Request
	done func(*subquery.Answer)
	// queuedAt and startedAt are written before the item is handed on.
	queuedAt, startedAt time.Time
	// taken is set, under the pool's lock, once the item left the queue.
	taken    bool
	finished atomic.Bool
	// answer is set by the worker before it reports it.
	answer *subquery.Answer
}

// finish reports the answer unless the item has one. It must not be called with
// the pool's lock held.
func (i *item) finish(a *subquery.Answer) bool {
	if !i.finished.CompareAndSwap(false, true) {
		return false
	}
	i.done(a)
	return true
}

// refusal returns an answer for a sub-request that did not run.
func refusal(r verdict.Reason, retryAfter time.Duration) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.NotRun, Reason: r, RetryAfter: retryAfter}
}

// unknown returns an answer for a sub-request that may have run.
func unknown(r verdict.Reason) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Unknown, Reason: r}
}
