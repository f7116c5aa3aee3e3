package bounds

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNumbersStayInRange guards against a number that overflows where it is converted.
func TestNumbersStayInRange(t *testing.T) {
	for n, want := range map[int64]time.Duration{
		math.MinInt64: 0, -1: 0, 0: 0, 1500: 1500 * time.Millisecond, 1 << 62: LongestPeriod, math.MaxInt64: LongestPeriod,
	} {
		require.Equal(t, want, Period(n, time.Millisecond), "%d", n)
		require.Equal(t, want, PeriodOf(float64(n), time.Millisecond), "%d", n)
	}
	for n, want := range map[float64]time.Duration{
		math.Inf(-1): 0, math.Inf(1): LongestPeriod, math.MaxFloat64: LongestPeriod, math.SmallestNonzeroFloat64: 0, 0.5: 500 * time.Microsecond,
	} {
		require.Equal(t, want, PeriodOf(n, time.Millisecond), "%g", n)
	}
	require.Zero(t, PeriodOf(math.NaN(), time.Second))
	for n, want := range map[int]int{math.MinInt: 0, -1: 0, 7: 7, math.MaxInt: MaxCount} {
		require.Equal(t, want, Count(n))
		require.InDelta(t, float64(want), Amount(float64(n)), 0)
	}
	require.InDelta(t, 0.3, Amount(0.3), 0)
	require.Zero(t, Amount(math.NaN()))
	require.InDelta(t, MaxCount, Amount(math.Inf(1)), 0)
}
