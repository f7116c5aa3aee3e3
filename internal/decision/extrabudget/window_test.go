package extrabudget

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

// TestExtraLoadStaysWithinLimitInWindowEndingAtEachExtra generates random sequences of
// pauses, requests and extra sub-requests. It checks each window that ends at an extra
// sub-request.
func TestExtraLoadStaysWithinLimitInWindowEndingAtEachExtra(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	properties := gopter.NewProperties(parameters)
	limit := Limit{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	properties.Property("extra sub-requests stay within the limit", prop.ForAll(func(steps []int) bool {
		now := time.Now()
		b := New(limit, now)
		var requests, extras []time.Time
		// Each step is one request. step%700 is the pause before it in milliseconds,
		// step%3 the number of extra sub-requests that it tries to send.
		for _, step := range steps {
			now = now.Add(time.Duration(step%700) * time.Millisecond)
			b.AddRequest(now)
			requests = append(requests, now)
			for range step % 3 {
				if b.TakeRetry(now) || b.TakeHedge(now) {
					extras = append(extras, now)
				}
			}
		}
		return withinLimit(limit, requests, extras)
	}, gen.SliceOfN(300, gen.IntRange(0, 5000))))
	properties.TestingRun(t)
}

// withinLimit reports whether each window that ends at an extra sub-request keeps the
// limit. It also counts the requests of the half window before: Budget counts in whole
// slices and may include requests up to one slice, 1/20 of a window, older than the
// window. The rest of the half window is a margin.
func withinLimit(limit Limit, requests, extras []time.Time) bool {
	for _, end := range extras {
		from := end.Add(-limit.Window)
		n := count(extras, from, end)
		m := count(requests, from.Add(-limit.Window/2), end)
		if float64(n) > limit.Ratio*float64(m)+limit.Slack {
			return false
		}
	}
	return true
}

func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestBudgetIsRestoredAfterWindow(t *testing.T) {
	now := time.Now()
	b := New(Limit{Ratio: 0, Slack: 2, Window: 10 * time.Second}, now)
	require.True(t, b.TakeRetry(now))
	require.True(t, b.TakeRetry(now))
	require.False(t, b.TakeRetry(now))
	require.False(t, b.TakeRetry(now.Add(9*time.Second)))
	require.True(t, b.TakeRetry(now.Add(11*time.Second)))
}

func TestHedgesLeaveRoomForRetries(t *testing.T) {
	now := time.Now()
	b := New(Limit{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}, now)
	for range 100 {
		b.AddRequest(now)
	}
	hedges, retries := 0, 0
	for b.TakeHedge(now) {
		hedges++
	}
	for b.TakeRetry(now) {
		retries++
	}
	// The ratio allows 0.2*100 = 20 extra sub-requests. Hedges may use hedgeShare of
	// them, 0.85*20 = 17; the other 3 are reserved for retries.
	require.Equal(t, 17, hedges)
	require.Equal(t, 3, retries)
}
