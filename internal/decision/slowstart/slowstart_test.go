package slowstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShareRisesGraduallyToTheUsualOne guards against a return in one step, which fills
// the queues of all targets of a failure domain at once.
func TestShareRisesGraduallyToTheUsualOne(t *testing.T) {
	const period = 10 * time.Second
	require.InDelta(t, 1-firstShare, Withheld(0, period), 1e-9)
	require.InDelta(t, 1-firstShare, Withheld(-time.Second, period), 1e-9)
	share := 1 - Withheld(0, period)
	for at := time.Duration(0); at <= period; at += period / 20 {
		next := 1 - Withheld(at, period)
		require.GreaterOrEqual(t, next, share)
		require.LessOrEqual(t, next, share*1.2)
		share = next
	}
	require.Zero(t, Withheld(period, period))
	require.Equal(t, MinPeriod, Period(0))
	require.Equal(t, period, Period(period))
}
