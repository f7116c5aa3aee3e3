package warmup

import (
	"slices"
	"time"
)

const (
	// Interval is the length of the sliding window in which requests are counted: the second
	// of the bound and deliverySpread.
	Interval = time.Second + deliverySpread
	// deliverySpread covers that requests take different times to the target, which counts
	// their arrivals.
	deliverySpread = 50 * time.Millisecond
)

// Window counts a host's requests to one target in an exact sliding window. Its memory is
// bounded by the number of requests that were allowed in an Interval.
type Window struct {
	// sent has the times of the requests of the last Interval in ascending order.
	sent []time.Time
}

// Add counts a request.
func (w *Window) Add(now time.Time) {
	w.prune(now)
	w.sent = append(w.sent, now)
}

// Count returns the number of requests in the Interval that ends at now.
func (w *Window) Count(now time.Time) int {
	w.prune(now)
	return len(w.sent)
}

// Wait returns the time until fewer than limit requests are in the window, for a positive
// limit.
func (w *Window) Wait(limit int, now time.Time) time.Duration {
	w.prune(now)
	if limit <= 0 || len(w.sent) < limit {
		return 0
	}
	return max(w.sent[len(w.sent)-limit].Add(Interval).Sub(now), 0) + time.Nanosecond
}

// prune drops the requests that are older than an Interval. One that is exactly as old still
// counts, so that no closed second has more than the limit.
func (w *Window) prune(now time.Time) {
	keep := slices.IndexFunc(w.sent, func(at time.Time) bool { return now.Sub(at) <= Interval })
	if keep < 0 {
		keep = len(w.sent)
	}
	w.sent = slices.Delete(w.sent, 0, keep)
}
