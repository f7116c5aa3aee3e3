package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// restart replaces member i with a new Fleet for the same host.
func (f *testFleet) restart(i int, seeds []model.Host) *member {
	f.members[i].stop()
	f.members[i] = f.start(f.members[i].host, seeds)
	return f.members[i]
}

// hosts returns the hosts of the fleet.
func (f *testFleet) hosts() []model.Host {
	hosts := make([]model.Host, len(f.members))
	for i, m := range f.members {
		hosts[i] = m.host
	}
	return hosts
}

func TestRestartedHostGetsHighestRevisionFromPeersWithoutPlatform(t *testing.T) {
	f := newTestFleet(t, 5, nil)
	f.platform.publish(testConfig(12, 3, 20))
	f.eventually("revision 12", func(m *member) bool { return m.revision() == 12 })
	f.platform.setDown(true)
	m := f.restart(2, f.hosts())
	select {
	case <-m.fleet.WhenReady():
	case <-time.After(waitTimeout):
		t.Fatal("the restarted host did not become ready")
	}
	require.Equal(t, model.Revision(12), m.revision())
	require.Equal(t, model.Revision(1), m.fleet.Current().Hosts.Revision)
}

func TestRestartedHostIsNotReadyWithStalePlatformRevision(t *testing.T) {
	f := newTestFleet(t, 5, nil)
	f.platform.publish(testConfig(12, 3, 20))
	f.eventually("revision 12", func(m *member) bool { return m.revision() == 12 })
	f.platform.publish(testConfig(11, 2, 20))
	for i := range 3 {
		m := f.restart(i, nil)
		select {
		case <-m.fleet.WhenReady():
		case <-time.After(waitTimeout):
			t.Fatal("the restarted host did not become ready")
		}
		require.Equal(t, model.Revision(12), m.revision())
	}
}

func TestOlderPlatformRevisionIsIgnored(t *testing.T) {
	f := newTestFleet(t, 5, nil)
	for _, m := range f.members {
		require.Equal(t, model.Revision(10), m.revision())
	}
	f.platform.publish(testConfig(9, 7, 20))
	f.platform.publishList(&model.HostList{Revision: 1, Hosts: f.hosts()[:1]})
	require.Eventually(t, func() bool {
		for _, m := range f.members {
			if m.counter("fleet.documents_offered", string(stale)) > 0 {
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond, "an older revision is counted")
	for _, m := range f.members {
		require.Equal(t, model.Revision(10), m.revision())
		require.Equal(t, 1, m.burst())
	}
	f.platform.publish(testConfig(11, 8, 20))
	f.eventually("revision 11", func(m *member) bool { return m.revision() == 11 })
}

func TestConflictingDocumentsOfOneRevisionConverge(t *testing.T) {
	f := newTestFleet(t, 6, nil)
	// Each half of the fleet reads a different document with revision 11.
	half := func(id model.HostID) bool { return id == "host-0" || id == "host-1" || id == "host-2" }
	f.cuts.set(func(from, to model.HostID) bool {
		if to == platformID {
			return !half(from)
		}
		return half(from) != half(to)
	})
	f.platform.publish(testConfig(11, 21, 20))
	require.Eventually(t, func() bool { return f.members[0].burst() == 21 }, waitTimeout, 5*time.Millisecond)
	f.cuts.set(func(from, to model.HostID) bool {
		if to == platformID {
			return half(from)
		}
		return half(from) != half(to)
	})
	f.platform.publish(testConfig(11, 22, 20))
	require.Eventually(t, func() bool { return f.members[5].burst() == 22 }, waitTimeout, 5*time.Millisecond)
	f.cuts.set(func(_, to model.HostID) bool { return to == platformID })
	f.eventually("one document", func(m *member) bool { return m.revision() == 11 && m.burst() == f.members[0].burst() })
	require.Eventually(t, func() bool {
		for _, m := range f.members {
			if m.counter("fleet.documents_offered", string(conflict)) > 0 {
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond, "the conflict is counted")
	f.cuts.set(nil)
	f.platform.publish(testConfig(12, 23, 20))
	f.eventually("revision 12", func(m *member) bool { return m.burst() == 23 })
}

func TestInvalidRevisionIsRejectedAndNewerOneIsAccepted(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	bad := testConfig(11, 5, 20)
	bad.Keys["exceptions/x"] = json.RawMessage(`{"workload":"review","policy":{"caller_burst":5},"owner":"ops","expires":"2030-01-01"}`)
	f.platform.publish(bad)
	require.Eventually(t, func() bool {
		status, err := f.members[0].fleet.Status(t.Context())
		return err == nil && status.Config.Rejected != nil && status.Config.Rejected.Revision == 11 && status.Config.Revision == 10
	}, waitTimeout, 5*time.Millisecond, "the rejection shows in the status")
	f.eventually("revision 10 stays", func(m *member) bool { return m.revision() == 10 })
	f.platform.publish(testConfig(12, 6, 20))
	f.eventually("revision 12", func(m *member) bool { return m.revision() == 12 })
}

func TestHostCatchesUpThroughInboundLinksOnly(t *testing.T) {
	f := newTestFleet(t, 4, nil)
	// host-0 misses the announcement of revision 11.
	f.cuts.set(func(from, to model.HostID) bool { return from == "host-0" || to == "host-0" })
	f.platform.publish(testConfig(11, 2, 20))
	for _, m := range f.members[1:] {
		require.Eventually(t, func() bool { return m.revision() == 11 }, waitTimeout, 5*time.Millisecond)
	}
	require.Equal(t, model.Revision(10), f.members[0].revision())
	// Afterwards host-0 can neither dial a peer nor read the configuration from
	// the platform, but peers can dial it.
	f.cuts.set(func(from, _ model.HostID) bool { return from == "host-0" })
	f.eventually("revision 11", func(m *member) bool { return m.revision() == 11 })
}

func TestPartitionedHostsStayReadyAndConvergeOnNewestRevision(t *testing.T) {
	f := newTestFleet(t, 6, nil)
	side := func(id model.HostID) bool { return id < "host-3" }
	f.cuts.set(func(from, to model.HostID) bool {
		return to == platformID && !side(from) || to != platformID && side(from) != side(to)
	})
	f.platform.publish(testConfig(11, 2, 20))
	require.Eventually(t, func() bool {
		return f.members[0].revision() == 11 && f.members[1].revision() == 11 && f.members[2].revision() == 11
	}, waitTimeout, 5*time.Millisecond)
	for _, m := range f.members[3:] {
		require.Equal(t, model.Revision(10), m.revision())
		require.True(t, m.fleet.Ready())
	}
	// The platform returns an older revision, and only the side without revision
	// 11 can read it.
	f.platform.publish(testConfig(9, 9, 20))
	f.cuts.set(func(from, to model.HostID) bool { return to == platformID && side(from) })
	f.eventually("revision 11", func(m *member) bool { return m.revision() == 11 })
}

func TestLeavingTargetIsMarkedOnAllHostsUntilItServesAgain(t *testing.T) {
	f := newTestFleet(t, 5, func(o *Options, _ *peer.Options) { o.LeavingHold = time.Hour })
	leaving := func(m *member) bool {
		_, ok := m.fleet.Current().LeavingTargets["target-3"]
		return ok
	}
	f.members[1].fleet.MarkTargetLeaving("target-3")
	f.eventually("leaving", leaving)
	// A newer host list that does not report the target as leaving does not clear
	// the mark within the hold, since host lists lag.
	f.platform.publishList(&model.HostList{Revision: 2, Hosts: f.hosts()})
	f.eventually("list 2", func(m *member) bool { return m.fleet.Current().Hosts.Revision == 2 })
	for _, m := range f.members {
		require.True(t, leaving(m))
	}
	f.members[4].fleet.MarkTargetServing("target-3")
	f.eventually("serving", func(m *member) bool { return !leaving(m) })
}

func TestNewerHostListClearsLeavingMarkAfterHold(t *testing.T) {
	f := newTestFleet(t, 3, func(o *Options, _ *peer.Options) { o.LeavingHold = 200 * time.Millisecond })
	leaving := func(m *member) bool {
		_, ok := m.fleet.Current().LeavingTargets["target-3"]
		return ok
	}
	f.members[0].fleet.MarkTargetLeaving("target-3")
	f.eventually("leaving", leaving)
	f.platform.publishList(&model.HostList{Revision: 2, Hosts: f.hosts(), LeavingTargets: []model.TargetID{"target-4"}})
	f.eventually("serving", func(m *member) bool {
		_, listed := m.fleet.Current().LeavingTargets["target-4"]
		return listed && !leaving(m)
	})
}

func TestLeavingHostOwnsNoTargetsUntilRestart(t *testing.T) {
	f := newTestFleet(t, 4, nil)
	owns := func(m *member, id model.HostID) bool {
		for _, o := range m.fleet.Current().Owners {
			if o.Owner == id || o.Standby == id {
				return true
			}
		}
		return false
	}
	f.eventually("owns", func(m *member) bool { return owns(m, "host-2") })
	require.NoError(t, f.members[2].fleet.Leave(t.Context()))
	f.eventually("owns nothing", func(m *member) bool { return !owns(m, "host-2") })
	f.restart(2, nil)
	f.eventually("owns again", func(m *member) bool { return owns(m, "host-2") })
}

func TestPauseIsDetectedAndClearedByCatchUp(t *testing.T) {
	f := newTestFleet(t, 3, func(o *Options, _ *peer.Options) { o.PauseGap = 30 * time.Second })
	m := f.members[0]
	gaps := make(chan time.Duration, 1)
	m.fleet.OnPause(func(gap time.Duration) { gaps <- gap })
	// Moving the last tick back simulates a process that did not run.
	m.fleet.pause.lastTick.Add(-int64(time.Minute))
	require.True(t, m.fleet.Paused(), "Paused is true before the detector runs")
	m.fleet.pause.check(time.Now())
	require.GreaterOrEqual(t, <-gaps, 30*time.Second)
	require.Eventually(t, func() bool { return !m.fleet.Paused() }, waitTimeout, time.Millisecond)
}

func TestStartingHostFetchesHostListHistoryFromPeers(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	for revision := model.Revision(2); revision <= 4; revision++ {
		f.platform.publishList(&model.HostList{Revision: revision, Hosts: f.hosts()})
		f.eventually("list", func(m *member) bool { return m.fleet.Current().Hosts.Revision == revision })
	}
	oldest := f.members[0].fleet.HostListHistory().CompleteSince
	m := f.restart(2, nil)
	require.Eventually(t, func() bool {
		h := m.fleet.HostListHistory()
		return len(h.Records) == 4 && h.Records[0].List.Revision == 1 && h.CompleteSince.Before(oldest.Add(10*time.Second))
	}, waitTimeout, 5*time.Millisecond)
}

func TestHostWithWrongPeerKeyReceivesNoDocuments(t *testing.T) {
	f := newTestFleet(t, 3, nil)
	f.platform.setDown(true)
	f.change = func(_ *Options, p *peer.Options) { p.Keys = [][]byte{[]byte("another key of thirty-two bytes!")} }
	outsider := hostOf(9, loopback.Addr())
	m := f.start(outsider, f.hosts())
	defer m.stop()
	require.Eventually(t, func() bool {
		var refused int64
		for _, other := range f.members {
			refused += other.counter("peer.handshake_refused", "wrong_key")
		}
		return refused >= 3
	}, waitTimeout, 5*time.Millisecond)
	require.Zero(t, m.revision())
	require.False(t, m.fleet.Ready())
}

func TestWatcherCountIsIndependentOfFleetSize(t *testing.T) {
	watchers := func(n int) int {
		f := newTestFleet(t, n, nil)
		f.eventually("the list is in force", func(m *member) bool { return m.fleet.Current().Hosts != nil })
		total := 0
		for _, m := range f.members {
			if m.fleet.current.Load().watching {
				total++
			}
		}
		return total
	}
	require.Equal(t, 6, watchers(9))
	require.Equal(t, 6, watchers(18))
}
