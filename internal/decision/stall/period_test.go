package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSpansShorterThanAnyPeriodTeachNothing guards against a host that ends when all its
// targets' late replies follow each other within less than the shortest period.
func TestSpansShorterThanAnyPeriodTeachNothing(t *testing.T) {
	for _, span := range []time.Duration{0, time.Millisecond, MinPeriod / 2, MinPeriod - 1} {
		spans := make([]time.Duration, 4*minSpans)
		for i := range spans {
			spans[i] = span
		}
		period, ok := fitPeriod(spans)
		require.False(t, ok, "%v", span)
		require.Zero(t, period)
	}
}
