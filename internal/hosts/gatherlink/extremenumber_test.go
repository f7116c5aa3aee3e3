package gatherlink

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// extremeInts are numbers that another host may state.
var extremeInts = []int{math.MinInt64, -1, 1 << 62, math.MaxInt64}

// TestAnswerThatLacksImpossibleNumberOfShardsIsNoAnswer guards against a caller that is told a number of
// missing shards which can't be true.
func TestAnswerThatLacksImpossibleNumberOfShardsIsNoAnswer(t *testing.T) {
	for _, missing := range extremeInts {
		require.Error(t, (&answer{Status: 200, Missing: missing}).check(3), "%d", missing)
	}
	require.Error(t, (&answer{Status: 200, Missing: 1}).check(0))
	require.NoError(t, (&answer{Status: 200, Missing: 3}).check(3))
}

// TestNumbersOfAnswerStayInBounds guards against a count that lowers a counter, and against a negative time.
func TestNumbersOfAnswerStayInBounds(t *testing.T) {
	for _, n := range extremeInts {
		from := &answer{
			Status: 503, RetryAfterUS: int64(n),
			Trace: &exchange.Trace{Hedges: n, Retries: n, Denied: n, Shards: n, Parts: n, Objective: time.Duration(n), Legs: make([]exchange.Leg, 1000)},
		}
		to := from.answer()
		for _, count := range []int{to.Trace.Hedges, to.Trace.Retries, to.Trace.Denied, to.Trace.Shards, to.Trace.Parts} {
			require.Equal(t, bounds.Count(n), count)
		}
		requirePeriod(t, to.RetryAfter)
		requirePeriod(t, to.Trace.Objective)
		require.Len(t, to.Trace.Legs, maxTraceLegs)
	}
}

// TestTimesOfRequestStayInBounds guards against a request that seems to have arrived in the future, or
// whose caller seems to wait for a negative time.
func TestTimesOfRequestStayInBounds(t *testing.T) {
	now := time.Now()
	for _, n := range extremeInts {
		us := int64(n)
		request := (&passedRequest{CallerTimeoutUS: us, ElapsedUS: us, ReservedUS: us}).request(now)
		requirePeriod(t, request.CallerTimeout)
		requirePeriod(t, request.Reserved)
		requirePeriod(t, now.Sub(request.Arrived))
		loss := Loss{SentAgoUS: us, LostAgoUS: us}
		requirePeriod(t, now.Sub(loss.Sent(now)))
		requirePeriod(t, now.Sub(loss.Lost(now)))
	}
}

func requirePeriod(t *testing.T, d time.Duration) {
	t.Helper()
	require.GreaterOrEqual(t, d, time.Duration(0))
	require.LessOrEqual(t, d, bounds.LongestPeriod)
}

// TestClockOfHostThatRunsForYearsIsRead guards against a bound on readings that long-lived hosts exceed,
// and against readings that wrap around.
func TestClockOfHostThatRunsForYearsIsRead(t *testing.T) {
	const uptime = 3 * 365 * 24 * time.Hour
	var clock remoteClock
	now := time.Now()
	clock.heard(now, uptime.Microseconds())
	require.Equal(t, (uptime + time.Second).Microseconds(), clock.at(now.Add(time.Second)))
	for _, n := range extremeInts {
		var clock remoteClock
		clock.heard(now, int64(n))
		clock.heard(now.Add(time.Second), int64(n))
		require.GreaterOrEqual(t, clock.at(now.Add(time.Second)), int64(0))
	}
}
