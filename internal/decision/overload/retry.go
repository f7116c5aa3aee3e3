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

// retryAfter returns when a refused caller should come back: once those refused before it
// are expected to be served by the part that they have precedence for, at most a third of
// the time that it has left. n is the caller's number, by which callers are spread over
// the second half of that time.
func retryAfter(refused int, limit float64, left time.Duration, n int) time.Duration {
	if left <= 0 {
		left = unknownLeft
	}
	expected := longestRetry
	if limit > 0 {
		expected = time.Duration(min(float64(refused)*2/limit*float64(time.Second), float64(longestRetry)))
	}
	expected = min(max(expected, leastRetry), left/retryPart)
	_, spread := math.Modf(float64(n) * golden)
	return time.Duration(float64(expected) * (1 + spread) / 2)
}
