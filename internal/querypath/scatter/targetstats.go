package scatter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// TargetStats is what this host has learned about one target from answers. It
// is safe for concurrent use and takes no lock.
type TargetStats struct {
	// latency is the EWMA of answer times in nanoseconds, zero before the first.
	latency atomic.Int64
	// inflight are this host's sub-requests to the target without an answer.
	inflight atomic.Int64
	// reported is the target's inflight plus queued on its last answer.
	reported atomic.Int64
	// avoidUntil is the Unix time in nanoseconds until which the target is the
	// last choice.
	avoidUntil atomic.Int64
	// failures counts failures since the last success.
	failures atomic.Int64
	// returnedAt is the Unix time in nanoseconds of the first success after a
	// failure, zero if the target never failed.
	returnedAt atomic.Int64
}

// Begin notes a sub-request sent to the target.
func (t *TargetStats) Begin() { t.inflight.Add(1) }

// End notes the answer to a sub-request that took elapsed.
func (t *TargetStats) End(a *subquery.Answer, elapsed time.Duration, now time.Time) {
	t.inflight.Add(-1)
	switch {
	case a.OK():
		t.reported.Store(int64(a.Load.Inflight + a.Load.Queued))
		t.observe(elapsed)
		if t.failures.Swap(0) > 0 {
			t.returnedAt.Store(now.UnixNano())
		}
	case a.Reason == verdict.Cancelled, a.Reason == verdict.DeadlinePassed:
		// A cancelled attempt took at least elapsed.
		if int64(elapsed) > t.latency.Load() {
			t.observe(elapsed)
		}
	case blamesTarget(a.Reason):
		t.failed(a.RetryAfter, now)
	}
}

// failed puts the target off for the hint or for a time that doubles with each
// failure in a row.
func (t *TargetStats) failed(hint time.Duration, now time.Time) {
	n := min(t.failures.Add(1), maxAvoidDoublings)
	pause := max(hint, avoidBase<<(n-1))
	t.avoidUntil.Store(now.Add(min(pause, avoidMax)).UnixNano())
}

// observe adds a latency sample. Concurrent samples may be lost.
func (t *TargetStats) observe(d time.Duration) {
	old := t.latency.Load()
	if old == 0 {
		t.latency.Store(int64(d))
		return
	}
	t.latency.Store(old + (int64(d)-old)/ewmaDivisor)
}

// Expected returns the expected latency, zero if unknown.
func (t *TargetStats) Expected() time.Duration { return time.Duration(t.latency.Load()) }

// Avoided reports whether the target failed so lately that it is put off.
func (t *TargetStats) Avoided(now time.Time) bool { return t.avoidUntil.Load() > now.UnixNano() }

// cost ranks the target: lower is better.
func (t *TargetStats) cost(now time.Time) float64 {
	latency := max(float64(t.latency.Load()), float64(minCostLatency))
	cost := latency * float64(t.inflight.Load()+t.reported.Load()+1)
	if t.Avoided(now) {
		return math.MaxFloat64 / 2
	}
	return cost * t.slowStartFactor(now)
}

// slowStartFactor falls from slowStartPenalty to 1 over slowStartPeriod.
func (t *TargetStats) slowStartFactor(now time.Time) float64 {
	returned := t.returnedAt.Load()
	if returned == 0 {
		return 1
	}
	age := now.UnixNano() - returned
	if age >= int64(slowStartPeriod) {
		return 1
	}
	left := 1 - float64(age)/float64(slowStartPeriod)
	return 1 + (slowStartPenalty-1)*left
}

// blamesTarget reports whether the reason speaks against the target itself.
func blamesTarget(r verdict.Reason) bool {
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
