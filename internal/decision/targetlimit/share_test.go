package targetlimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSharesFollowDemandAndAddUpToTheLimit(t *testing.T) {
	sum := 0.0
	for _, own := range []float64{10, 30, 0} {
		sum += Demand{Own: own, Total: 40, Known: true, Sharers: 3}.Part().Share
	}
	require.InDelta(t, 1, sum, 1e-9)
	require.Positive(t, Demand{Own: 0, Total: 40, Known: true, Sharers: 3}.Part().Share, "a host without demand may begin")
	require.InDelta(t, 0.25, Demand{Own: 9, Sharers: 4}.Part().Share, 1e-9, "equal parts while the total is unknown")
	require.InDelta(t, 1, Demand{Own: 9, Total: 3, Known: true, Sharers: 1}.Part().Share, 1e-9)
	require.Positive(t, Part{Share: 0.5, Sharers: 2}.Allowance(0).PerSecond, "a target that takes nothing is asked rarely whether it still does")
}

// TestRiseOfDemandCountsOnlyOnceAllKnowIt guards against a share of the whole limit in a burst.
func TestRiseOfDemandCountsOnlyOnceAllKnowIt(t *testing.T) {
	var m Meter
	for i := range 50 {
		m.Measure(4, after(0.4*float64(i)))
		m.SetTotal(100, after(0.4*float64(i)))
	}
	calm := m.Demand(after(20), 10)
	require.InDelta(t, 10, calm.Own, 0.1)
	m.Measure(400, after(20))
	require.InDelta(t, calm.Own, m.Demand(after(20.1), 10).Own, 0.01)
	for i := range 4 {
		m.Measure(400, after(20.4+0.4*float64(i)))
	}
	require.Greater(t, m.Demand(after(21.7), 10).Own, 2*calm.Own)
	require.True(t, m.Demand(after(21.9), 10).Known)
	require.False(t, m.Demand(after(23), 10).Known, "an old total is unknown")
}

// TestTotalThatFallsForAMomentDoesNotCount guards against larger shares while hosts move from a
// lost reader to another.
func TestTotalThatFallsForAMomentDoesNotCount(t *testing.T) {
	var m Meter
	m.SetTotal(100, after(1))
	m.SetTotal(60, after(1.4))
	require.Equal(t, 100.0, m.Demand(after(3), 1).Total)
	m.SetTotal(60, after(3))
	require.Equal(t, 60.0, m.Demand(after(3.6), 1).Total)
}

func TestReportsThatCanNotBeTrueOrAreOldDoNotCount(t *testing.T) {
	var totals Totals
	totals.Add(NewReport([]ServiceDemand{{"s", 4}, {"s", math.NaN()}, {"s", -3}, {"s", math.Inf(1)}}, began), after(1))
	totals.Add(NewReport([]ServiceDemand{{"s", 5}}, began), after(4))
	require.Equal(t, []ServiceDemand{{"s", 4}}, totals.List())
}

func TestNewestStatementOfTargetCounts(t *testing.T) {
	limited := Statement{Limited: true, PerSecond: 3, At: after(10)}
	ended := Statement{At: after(11)}
	require.True(t, limited.News(Statement{}))
	require.False(t, Statement{At: after(1)}.News(Statement{}), "that a target has no limit is no news")
	require.True(t, ended.News(limited))
	require.False(t, limited.News(ended), "it is older")
	again := limited
	again.At = after(12)
	require.False(t, again.News(limited), "nothing new")
	again.At = after(21)
	require.True(t, again.News(limited), "so that it does not expire elsewhere")
	require.False(t, Statement{At: after(10.2)}.Supersedes(limited), "its age is not known that exactly")
	require.True(t, ended.Supersedes(limited))
	require.True(t, limited.Expired(after(71)))
}

func TestNoticesKeepAgesAndRejectNonsense(t *testing.T) {
	s := Statement{Limited: true, PerSecond: 3, At: after(1)}
	n := NewNotice("t", 7, s, after(3))
	got, ok := n.Statement(after(3))
	require.True(t, ok)
	require.Equal(t, s, got)
	for _, wrong := range []Notice{{AgeMS: -1}, {PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: math.Inf(1)}, {AgeMS: math.MaxInt64}, {AgeMS: 10 * time.Hour.Milliseconds()}} {
		_, ok := wrong.Statement(began)
		require.False(t, ok)
	}
}
