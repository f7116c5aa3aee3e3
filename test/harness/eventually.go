package harness

import (
	"testing"
	"time"
)

const (
	// Patience is how long a condition may take before the test fails.
	Patience = time.Minute
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// Eventually waits until condition holds, and fails the test if it does not.
func Eventually(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	deadline := time.Now().Add(Patience)
	for !condition() {
		if time.Now().After(deadline) {
			tb.Fatalf("waited %s in vain: %s", Patience, what)
		}
		time.Sleep(pollInterval)
	}
}
