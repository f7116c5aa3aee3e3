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
		a, after := g.admit("s", overload.Request{Stream: overload.Stream{Rank: 1, Domain: "z"}, Left: time.Second}, now)
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
// and how far a group is limited, and against reports of groups that nobody needs.
func TestLimitIsLoggedAndCountedFromBeginToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := test.NewNullLogger()
		scope := tally.NewTestScope("", nil)
		e := NewExecutor(Options{Log: log, Scope: scope})
		require.NotNil(t, first(e.gate.admit("calm", overload.Request{}, time.Now())))
		require.Empty(t, e.OverloadReport(time.Now()))
		refused := flood(e.gate, 3*time.Second, overload.Overdue)
		require.Positive(t, refused)
		e.OverloadReport(time.Now())
		flood(e.gate, 400*time.Millisecond, overload.Overdue)
		report := e.OverloadReport(time.Now())
		require.Len(t, report, 1)
		require.Equal(t, "s", report[0].Group)
		require.Equal(t, overload.Stream{Rank: 1, Domain: "z"}, report[0].Stream())
		require.Greater(t, report[0].Offered, report[0].Admitted)
		for range 10 {
			time.Sleep(400 * time.Millisecond)
			e.OverloadReport(time.Now())
		}
		require.Empty(t, e.OverloadReport(time.Now()))
		seen := map[string]int{}
		for _, line := range lines.AllEntries() {
			seen[line.Message]++
		}
		require.Equal(t, 1, seen["admission to a group of targets is limited"])
		require.Equal(t, 1, seen["admission to a group of targets is no longer limited"])
		require.GreaterOrEqual(t, seen["admission to a group of targets is still limited"], 3)
		counters := scope.Snapshot().Counters()
		offered, admitted := counters["overload_offered+rank=1"].Value(), counters["overload_admitted+rank=1"].Value()
		require.Equal(t, offered, admitted+counters["overload_refused+rank=1"].Value())
		require.Zero(t, scope.Snapshot().Gauges()["overload_limit+group=s,rank=1"].Value())
		time.Sleep(time.Second)
	})
}

func first(a *admission, _ time.Duration) *admission { return a }

// TestFleetSharesLimitAHostThatSeesNoOverload guards against a host that goes on to admit
// what takes the place of more urgent callers of other hosts, and against shares that
// outlive their totals.
func TestFleetSharesLimitAHostThatSeesNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewExecutor(Options{})
		share := overload.Share{Entry: overload.Entry{Group: "s", Rank: 1, Domain: "z"}, Limited: true, Fresh: 0.25, Returning: 1}
		e.SetFleetShares(time.Now(), []overload.Share{share})
		refused := flood(e.gate, 400*time.Millisecond, overload.InTime)
		require.InDelta(t, 30, refused, 3)
		time.Sleep(1600 * time.Millisecond)
		require.Zero(t, flood(e.gate, 50*time.Millisecond, overload.InTime))
		time.Sleep(time.Second)
	})
}
