package harness

import (
	"testing"
	"time"
)

const (
	// ConditionTimeout is how long Eventually waits for a condition before it fails the test.
	ConditionTimeout = time.Minute
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// Eventually polls condition until it holds, and fails the test if it does not hold
// within ConditionTimeout. The failure message contains what.
func Eventually(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	deadline := time.Now().Add(ConditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met within %s: %s", ConditionTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}
