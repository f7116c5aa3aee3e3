package targethealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addHealthy adds good exchanges of ten targets.
func addHealthy(b *Aggregator, now time.Time) {
	for i := range 10 {
		b.Add(now, []Sample{{Target: fmt.Sprintf("t-%d", i), Good: 2}})
	}
}

func TestTargetWithEnoughBadExchangesIsReported(t *testing.T) {
	var b Aggregator
	now := time.Unix(1000, 0)
	addHealthy(&b, now)
	for range minBad - 1 {
		b.Add(now, []Sample{{Target: "slow", Bad: 1}})
	}
	require.Empty(t, b.Unhealthy(now), "fewer than minBad bad exchanges")
	b.Add(now, []Sample{{Target: "slow", Bad: 1}})
	require.Equal(t, []string{"slow"}, b.Unhealthy(now))
	require.Empty(t, b.Unhealthy(now.Add((sliceCount+1)*sliceLength)), "exchanges before the window don't count")
}

// TestTargetWithLowShareOfBadExchangesIsNotReported checks a target with a few bad
// exchanges among many good ones, as a short pause causes them.
func TestTargetWithLowShareOfBadExchangesIsNotReported(t *testing.T) {
	var b Aggregator
	now := time.Unix(1000, 0)
	addHealthy(&b, now)
	b.Add(now, []Sample{{Target: "paused", Good: 17, Bad: 4}})
	require.Empty(t, b.Unhealthy(now))
}

func TestNoTargetIsReportedWhenMostLookBad(t *testing.T) {
	var b Aggregator
	now := time.Unix(1000, 0)
	addHealthy(&b, now)
	for i := range 8 {
		b.Add(now, []Sample{{Target: fmt.Sprintf("t-%d", i), Bad: 5}})
	}
	require.Empty(t, b.Unhealthy(now))
}

func TestUnhealthyTargetIsReportedAfterLongIdleTime(t *testing.T) {
	var b Aggregator
	now := time.Unix(1000, 0)
	addHealthy(&b, now)
	now = now.Add(time.Hour)
	addHealthy(&b, now)
	b.Add(now, []Sample{{Target: "slow", Bad: minBad}})
	require.Equal(t, []string{"slow"}, b.Unhealthy(now))
}
