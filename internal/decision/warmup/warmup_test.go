package warmup

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func names(n int) []string {
	hosts := make([]string, n)
	for i := range hosts {
		hosts[i] = fmt.Sprint("10.0.0.", i, ":1")
	}
	return hosts
}

// TestPermitsRoundDown guards against a third that is rounded up thrice.
func TestPermitsRoundDown(t *testing.T) {
	require.Equal(t, 6, Permits(10, 1.5, 5), "20/3")
	require.Equal(t, 0, Permits(1, 1.5, 1))
	require.Equal(t, 0, Permits(0, 0, 0))
	require.Equal(t, 0, Permits(-5, 1.5, 5))
	require.Equal(t, 0, Permits(math.NaN(), 1.5, 5))
	require.Equal(t, 0, Permits(math.Inf(1), 1.5, 5))
}

// TestSharesOfOneListStayWithinPermits guards against a list whose shares add up to more
// than the permits, for each size of fleet, number of permits and kind of service.
func TestSharesOfOneListStayWithinPermits(t *testing.T) {
	for _, hosts := range []int{1, 3, 7, 40} {
		for _, gatherers := range []int{0, 4} {
			for permits := range 45 {
				for _, shard := range []bool{false, true} {
					all := names(hosts)
					list := List{Hosts: hosts, Stewards: all[:min(hosts, MaxStewards)], Gatherers: all[:min(hosts, gatherers)]}
					sum := 0
					for _, host := range all {
						sum += list.Share(host, "t", shard, permits)
					}
					require.LessOrEqual(t, sum, permits)
					require.True(t, permits == 0 || sum > permits/2, "%d of %d permits are shared", sum, permits)
				}
			}
		}
	}
}

// TestStewardsDifferByTarget guards against one host that serves all cold targets.
func TestStewardsDifferByTarget(t *testing.T) {
	list := List{Stewards: names(MaxStewards)}
	holders := map[string]bool{}
	for target := range 100 {
		for _, host := range list.Stewards {
			if list.Share(host, fmt.Sprint("t-", target), false, 1) > 0 {
				holders[host] = true
			}
		}
	}
	require.Greater(t, len(holders), MaxStewards/2)
	require.Zero(t, list.Share("10.0.1.1:1", "t", false, 100), "a host that isn't listed")
}

// TestLeaseIsUsedOnlyWhileStableAndFresh guards against a host that sends by a list which
// others have not got yet, or have no more.
func TestLeaseIsUsedOnlyWhileStableAndFresh(t *testing.T) {
	list := List{Hosts: 2}
	var l Lease
	require.Nil(t, l.List(start))
	confirm := func(source, generation uint64, after time.Duration) *List {
		now := start.Add(after)
		l.Confirm(source, generation, list, now.Add(-100*time.Millisecond), now)
		return l.List(now)
	}
	require.Nil(t, confirm(1, 1, 0))
	require.Nil(t, confirm(1, 1, StableFor-time.Millisecond))
	require.NotNil(t, confirm(1, 1, StableFor))
	require.NotNil(t, l.List(start.Add(StableFor+FreshFor-101*time.Millisecond)))
	require.Nil(t, l.List(start.Add(StableFor+FreshFor-100*time.Millisecond)), "the age counts from the question")
	require.NotNil(t, confirm(1, 1, 2*StableFor), "confirmed later")
	require.Nil(t, confirm(1, 2, 2*StableFor), "a new generation")
	require.NotNil(t, confirm(1, 2, 3*StableFor))
	require.Nil(t, confirm(2, 2, 3*StableFor), "another link")
}

// TestLeaseLapsesInFreezeThatMonotonicClockMisses guards against a host that sends with an
// old list right after its machine was frozen.
func TestLeaseLapsesInFreezeThatMonotonicClockMisses(t *testing.T) {
	asked := time.Now()
	thawed := asked.Add(10 * time.Millisecond).Round(0).Add(FreshFor)
	require.GreaterOrEqual(t, elapsed(asked, thawed), FreshFor)
}

// TestRevertedListGetsNewGeneration guards against two hosts that ask in turn and see
// different lists of one reader as unchanged.
func TestRevertedListGetsNewGeneration(t *testing.T) {
	var i Issuer
	first := i.Issue(List{Hosts: 2})
	require.Equal(t, first, i.Issue(List{Hosts: 2}))
	second := i.Issue(List{Hosts: 3})
	require.NotEqual(t, first, second)
	require.NotContains(t, []uint64{first, second}, i.Issue(List{Hosts: 2}))
}

// TestWindowCountsClosedInterval guards against a count in fixed seconds, which would allow
// twice the share around the turn of a second.
func TestWindowCountsClosedInterval(t *testing.T) {
	var w Window
	w.Add(start)
	w.Add(start.Add(900 * time.Millisecond))
	require.Equal(t, 2, w.Count(start.Add(Interval)))
	require.Equal(t, time.Millisecond+time.Nanosecond, w.Wait(2, start.Add(Interval-time.Millisecond)))
	require.Equal(t, 901*time.Millisecond+time.Nanosecond, w.Wait(1, start.Add(Interval-time.Millisecond)))
	require.Equal(t, 1, w.Count(start.Add(Interval+time.Nanosecond)))
	require.Zero(t, w.Wait(2, start.Add(Interval+time.Nanosecond)))
	require.Zero(t, w.Count(start.Add(2*Interval)))
}

// TestTargetIsColdAfterRecentStartOnly guards against a host that starts and takes each
// target for cold.
func TestTargetIsColdAfterRecentStartOnly(t *testing.T) {
	const warmup = 20 * time.Second
	require.Equal(t, start.Add(warmup), ColdAfterStart(time.Time{}, start, warmup), "no start stated")
	require.Equal(t, start.Add(warmup), ColdAfterStart(start.Add(time.Hour), start, warmup), "a clock that is ahead")
	require.Equal(t, start.Add(warmup), ColdAfterStart(start.Add(-time.Second), start, warmup))
	require.Equal(t, start.Add(10*time.Second+clockMargin), ColdAfterStart(start.Add(-10*time.Second), start, warmup))
	require.True(t, ColdAfterStart(start.Add(-time.Hour), start, warmup).Before(start))
}
