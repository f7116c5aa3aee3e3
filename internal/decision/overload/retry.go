package overload

import (
	"math"
	"time"
)

const (
	// leastRetry and longestRetry bound the time after which a refused caller comes back.
	leastRetry   = 50 * time.Millisecond
	longestRetry = 2 * time.Second
	// unknownLeft is assumed for callers that don't state how long they wait.
	unknownLeft = time.Second
	// retryPart is the part of the time left that callers are willing to wait.
	retryPart = 3
	// golden spreads consecutive callers evenly over an interval.
	golden = 0.6180339887498949
)

// retryAfter returns when a refused caller should come back: as late as it can, since an
// overload lasts longer than callers wait. n is the caller's number, by which callers are
// spread over the second half of that time.
func retryAfter(left time.Duration, n int) time.Duration {
	if left <= 0 {
		left = unknownLeft
	}
	latest := min(max(left/retryPart, leastRetry), longestRetry)
	_, spread := math.Modf(float64(n) * golden)
	return time.Duration(float64(latest) * (1 + spread) / 2)
}
