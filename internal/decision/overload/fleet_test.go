package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reportFor adds the same report to the fleet at each interval and returns the time after.
func reportFor(f *Fleet, from time.Time, times int, entries ...Entry) time.Time {
	for range times {
		f.Add(from, entries)
		from = from.Add(fleetSlice)
	}
	return from
}

func entry(rank int, domain string, offered int, allowed float64) Entry {
	return Entry{Group: "g", Rank: rank, Domain: domain, Counts: Counts{Offered: offered, Allowed: allowed}}
}

func shareOf(list []Share, rank int, domain string) Share {
	for _, s := range list {
		if s.Rank == rank && s.Domain == domain {
			return s
		}
	}
	return Share{}
}

// TestFleetSharesFollowTheSumOfLimits guards against hosts that each divide by their own
// callers only: one with less urgent callers would admit them while another refuses
// urgent ones.
func TestFleetSharesFollowTheSumOfLimits(t *testing.T) {
	f := &Fleet{}
	now := reportFor(f, testStart, 5, entry(0, "a", 40, 10), entry(1, "b", 40, 30))
	list := f.Shares(now)
	require.True(t, shareOf(list, 0, "a").Limited)
	require.InDelta(t, 1, shareOf(list, 0, "a").Fresh, 0.02)
	require.InDelta(t, 0.1*planned, shareOf(list, 1, "b").Fresh, 0.01)
}

// TestHostsWithoutLimitAreOnlyAskedForReports guards against shares without overload.
func TestHostsWithoutLimitAreOnlyAskedForReports(t *testing.T) {
	f := &Fleet{}
	now := reportFor(f, testStart, 5, entry(0, "a", 40, 40))
	list := f.Shares(now)
	require.Len(t, list, 1)
	require.False(t, list[0].Limited)
	g := NewGroup(now)
	g.SetShares(now, list)
	require.False(t, g.Limited(now))
	require.True(t, g.Asked(now))
	require.False(t, g.Asked(now.Add(shareTTL)))
}

// TestTotalsShrinkAfterLossOfHosts guards against shares that count hosts that are gone.
func TestTotalsShrinkAfterLossOfHosts(t *testing.T) {
	f := &Fleet{}
	now := reportFor(f, testStart, 5, entry(0, "a", 40, 10), entry(0, "b", 40, 10))
	now = reportFor(f, now, 4, entry(0, "a", 40, 10))
	require.Empty(t, shareOf(f.Shares(now), 0, "b").Domain)
	require.Empty(t, f.Shares(now.Add(2*time.Second)))
	require.Empty(t, f.Shares(now.Add(4*time.Second)))
	require.Empty(t, f.groups)
}

// TestHostsCountedTwiceNeverLiftTheLimit guards against a reader whose totals are wrong.
func TestHostsCountedTwiceNeverLiftTheLimit(t *testing.T) {
	f := &Fleet{}
	once := entry(0, "a", 40, 10)
	now := reportFor(f, testStart, 5, once, once)
	share := shareOf(f.Shares(now), 0, "a")
	require.True(t, share.Limited)
	require.InDelta(t, 0.25*planned, share.Fresh, 0.01)
}

// TestStaleSharesGiveWayToOwnObservations guards against shares that outlive the link.
func TestStaleSharesGiveWayToOwnObservations(t *testing.T) {
	g := NewGroup(testStart)
	share := Share{Entry: entry(0, "a", 40, 10), Limited: true, Fresh: 0.25}
	g.SetShares(testStart, []Share{share})
	admitted := 0
	for i := range 100 {
		now := testStart.Add(time.Duration(i) * 10 * time.Millisecond)
		if g.Admit(now, Request{Stream: Stream{Domain: "a"}}).Admitted {
			admitted++
		}
	}
	require.InDelta(t, 25, admitted, 5)
	require.False(t, g.Limited(testStart.Add(shareTTL)))
	require.True(t, g.Admit(testStart.Add(shareTTL), Request{Stream: Stream{Domain: "a"}}).Admitted)
}
