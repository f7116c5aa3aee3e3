package scatter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// TargetStats holds this host's statistics of one target. It is safe for
// concurrent use and takes no lock.
type TargetStats struct {
	// latency is the EWMA of the answer times in nanoseconds, zero before the first
	// sample.
	latency atomic.Int64
	// inflight counts this host's unanswered sub-requests to the target.
	inflight atomic.Int64
	// reported is the target's own count of sub-requests in flight and queued, as of
	// its last successful answer.
	reported atomic.Int64
	// avoidUntil is the Unix time in nanoseconds until which the target has a higher
	// cost than any target that is not avoided.
	avoidUntil atomic.Int64
	// failures counts the failures since the last success.
	failures atomic.Int64
	// recoveredAt is the Unix time in nanoseconds of the first success after the
	// last failures, zero if there was none.
	recoveredAt atomic.Int64
}

// Begin records a sub-request sent to the target.
func (t *TargetStats) Begin() { t.inflight.Add(1) }

// End records the answer to a sub-request, elapsed after it was sent.
func (t *TargetStats) End(a *subquery.Answer, elapsed time.Duration, now time.Time) {
	t.inflight.Add(-1)
	switch {
	case a.OK():
		t.reported.Store(int64(a.Load.Inflight + a.Load.Queued))
		t.observeLatency(elapsed)
		if t.failures.Swap(0) > 0 {
			t.recoveredAt.Store(now.UnixNano())
		}
	case a.Reason == verdict.Cancelled, a.Reason == verdict.DeadlinePassed:
		// The target would have taken at least elapsed, so the sample counts only if
		// it raises the latency.
		if int64(elapsed) > t.latency.Load() {
			t.observeLatency(elapsed)
		}
	case isTargetFault(a.Reason):
		t.recordFailure(a.RetryAfter, now)
	}
}

// recordFailure marks the target as avoided for the hint or, if that is longer,
// for a time that doubles with each consecutive failure; in both cases for
// avoidMax at most.
func (t *TargetStats) recordFailure(hint time.Duration, now time.Time) {
	n := min(t.failures.Add(1), maxAvoidDoublings)
	pause := max(hint, avoidBase<<(n-1))
	t.avoidUntil.Store(now.Add(min(pause, avoidMax)).UnixNano())
}

// observeLatency adds a latency sample. Concurrent samples may be lost.
func (t *TargetStats) observeLatency(d time.Duration) {
	old := t.latency.Load()
	if old == 0 {
		t.latency.Store(int64(d))
		return
	}
	t.latency.Store(old + (int64(d)-old)/ewmaDivisor)
}

// Expected returns the expected latency, zero if unknown.
func (t *TargetStats) Expected() time.Duration { return time.Duration(t.latency.Load()) }

// Avoided reports whether the target is avoided because of recent failures.
func (t *TargetStats) Avoided(now time.Time) bool { return t.avoidUntil.Load() > now.UnixNano() }

// cost returns the target's cost for the choice of a replica; lower is better.
// It is the latency multiplied by the load, and higher than any other cost while
// the target is avoided.
func (t *TargetStats) cost(now time.Time) float64 {
	latency := max(float64(t.latency.Load()), float64(minCostLatency))
	cost := latency * float64(t.inflight.Load()+t.reported.Load()+1)
	if t.Avoided(now) {
		return math.MaxFloat64 / 2
	}
	return cost * t.slowStartFactor(now)
}

// slowStartFactor returns the factor for the cost of a recovered target. It falls
// from slowStartPenalty to 1 over slowStartPeriod.
func (t *TargetStats) slowStartFactor(now time.Time) float64 {
	recovered := t.recoveredAt.Load()
	if recovered == 0 {
		return 1
	}
	age := now.UnixNano() - recovered
	if age >= int64(slowStartPeriod) {
		return 1
	}
	left := 1 - float64(age)/float64(slowStartPeriod)
	return 1 + (slowStartPenalty-1)*left
}

// isTargetFault reports whether a failure with the reason is attributed to the
// target or the path to it, so that the target is avoided for a while.
func isTargetFault(r verdict.Reason) bool {
	switch r {
	case verdict.TargetShed, verdict.TargetLeaving, verdict.TargetUnreachable, verdict.TargetFailed,
		verdict.TargetCrashed, verdict.TargetSilent, verdict.QueueFull, verdict.PredictedWait,
		verdict.ReplyMismatch, verdict.ReplyTruncated, verdict.NotOwner, verdict.OwnerUnreachable,
		verdict.PeerLinkLost:
		return true
	default:
		return false
	}
}
