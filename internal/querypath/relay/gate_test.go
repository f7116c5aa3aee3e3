package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
)

// flood offers requests to a group for a while, each of which ends with the result. It
// returns how many were refused, or -1 if one of them got an unusable Retry-After.
func flood(g *gate, lasts time.Duration, result overload.Result) (refused int) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		now := time.Now()
		a, after := g.admit("s", overload.Request{Rank: 1, Objective: 200 * time.Millisecond, Left: time.Second}, now)
		if a == nil {
			refused++
			if after <= 0 || after > time.Second/3 {
				return -1
			}
		} else {
			time.AfterFunc(300*time.Millisecond, func() { a.ended(time.Now(), result) })
		}
		time.Sleep(10 * time.Millisecond)
	}
	return refused
}

// TestLimitIsLoggedAndCountedFromBeginToEnd guards against operators who can't see that
// and how far a group is limited, and against a limit that outlives the requests.
func TestLimitIsLoggedAndCountedFromBeginToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := test.NewNullLogger()
		scope := tally.NewTestScope("", nil)
		e := NewExecutor(Options{Log: log, Scope: scope})
		require.Positive(t, flood(e.gate, 4*time.Second, overload.Overdue))
		for range 10 {
			time.Sleep(400 * time.Millisecond)
			e.ExpireLimits(time.Now())
		}
		seen := map[string]int{}
		for _, line := range lines.AllEntries() {
			seen[line.Message]++
		}
		require.Equal(t, 1, seen["admission to a group of targets is limited"])
		require.Equal(t, 1, seen["admission to a group of targets is no longer limited"])
		require.GreaterOrEqual(t, seen["admission to a group of targets is still limited"], 2)
		counters := scope.Snapshot().Counters()
		offered, admitted := counters["overload_offered+rank=1"].Value(), counters["overload_admitted+rank=1"].Value()
		require.Positive(t, offered)
		require.Equal(t, offered, admitted+counters["overload_refused+rank=1"].Value())
		require.Zero(t, scope.Snapshot().Gauges()["overload_limit+group=s"].Value())
	})
}
