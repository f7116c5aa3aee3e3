package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// limitFollower is a host that follows a hub, with what it got.
type limitFollower struct {
	*Source
	notices chan targetlimit.Notice
	totals  chan targetlimit.ServiceDemand
}

func followLimits(t *testing.T, addr string) *limitFollower {
	t.Helper()
	s, _ := newSource(addr)
	f := &limitFollower{Source: s, notices: make(chan targetlimit.Notice, 100), totals: make(chan targetlimit.ServiceDemand, 1000)}
	s.opts.Hub.SetLimitHooks(LimitHooks{
		AddNotices: func(notices []targetlimit.Notice) {
			for _, n := range notices {
				f.notices <- n
			}
		},
		SetTotals: func(totals []targetlimit.ServiceDemand) {
			for _, d := range totals {
				f.totals <- d
			}
		},
	})
	_, err := s.Read(catalog.Position{})
	require.NoError(t, err)
	return f
}

// TestHostsGetLimitsAndTotalsOfTheFleet guards against hosts that each divide a limit by what
// they know alone, and against one that joins and knows of no limit.
func TestHostsGetLimitsAndTotalsOfTheFleet(t *testing.T) {
	hub, addr, _ := serve(t)
	publishOne(hub)
	hub.setReaderLimitDemand("other", []targetlimit.ServiceDemand{{Service: "s", PerSecond: 5}})
	first, second := followLimits(t, addr), followLimits(t, addr)
	notice := targetlimit.Notice{Target: "t", Born: 7, Limited: true, PerSecond: 3.5, AgeMS: 40}
	require.Eventually(t, func() bool {
		hub.setReaderLimitDemand("other", []targetlimit.ServiceDemand{{Service: "s", PerSecond: 5}})
		first.ReportLimits([]targetlimit.Notice{notice}, []targetlimit.ServiceDemand{{Service: "s", PerSecond: 10}})
		second.ReportLimits(nil, []targetlimit.ServiceDemand{{Service: "s", PerSecond: 2}})
		_, err := second.Watch(at(7), time.Second)
		require.NoError(t, err)
		for len(second.totals) > 0 {
			if total := <-second.totals; total.PerSecond == 17 {
				return len(second.notices) > 0
			}
		}
		return false
	}, eventuallyTimeout, time.Millisecond)
	got := <-second.notices
	require.Equal(t, notice, got)
	require.Empty(t, second.notices, "told once")
	late := followLimits(t, addr)
	got = <-late.notices
	require.Equal(t, 3.5, got.PerSecond)
	require.GreaterOrEqual(t, got.AgeMS, notice.AgeMS, "its age goes with it")
}

// TestHostWithoutLinkReportsNoTotals guards against a host that takes its own demand for that
// of the fleet, and so the whole limit for itself.
func TestHostWithoutLinkReportsNoTotals(t *testing.T) {
	s, _ := newSource("127.0.0.1:1")
	s.ReportLimits(nil, []targetlimit.ServiceDemand{{Service: "s", PerSecond: 10}})
	_, totals := s.opts.Hub.sendHeartbeat()
	require.Empty(t, totals)
}

// TestStatementsOfManyTargetsAreBounded guards against memory that grows with each target that
// ever stated a limit.
func TestStatementsOfManyTargetsAreBounded(t *testing.T) {
	relay := newLimitRelay()
	now := time.Now()
	for i := range maxLimitNotices + 10 {
		relay.remember(TargetStart{Target: "t", Born: int64(i)}, targetlimit.Statement{Limited: true, At: now}, now)
	}
	require.Len(t, relay.stated, maxLimitNotices)
	later := now.Add(2 * time.Minute)
	require.True(t, relay.remember(TargetStart{Target: "new"}, targetlimit.Statement{Limited: true, At: later}, later))
	require.Len(t, relay.stated, 1)
}
