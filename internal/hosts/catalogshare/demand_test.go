package catalogshare

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// demandOf is the report of a host that admits a quarter of what callers ask for.
func demandOf(domain string) []overload.Entry {
	counts := overload.Counts{Offered: 40, Admitted: 10, InTime: 8, Late: 2, Allowed: 10}
	return []overload.Entry{{Group: "s", Rank: 1, Domain: domain, Counts: counts}}
}

// follow returns a source with a link to the hub and a channel with the shares that its
// host gets.
func follow(t *testing.T, hub *Hub, addr string, member gathering.Member) (*Source, <-chan []overload.Share) {
	t.Helper()
	source, _ := newSource(addr)
	source.opts.Hub.self = member
	got := make(chan []overload.Share, 1000)
	source.opts.Hub.OnFleetShares(func(list []overload.Share) { got <- list })
	_, err := source.Read(catalog.Position{})
	require.NoError(t, err)
	return source, got
}

// domainsOf returns the failure domains in a list of shares.
func domainsOf(list []overload.Share) []string {
	var domains []string
	for _, s := range list {
		domains = append(domains, s.Domain)
	}
	return domains
}

// publishOne gives the hub an entry, without which it takes no links.
func publishOne(hub *Hub) {
	first := newBatch(7, "a")
	first.Full = true
	hub.Publish(first)
}

// TestHostsThatServeSweepsGetSharesOfTheSumOfReports guards against shares from one host's
// report only, and against messages to hosts that serve no sweeps.
func TestHostsThatServeSweepsGetSharesOfTheSumOfReports(t *testing.T) {
	hub, addr, _ := serve(t)
	publishOne(hub)
	gatherer := gathering.Member{Addr: "gatherer:1", FailureDomain: "z-1"}
	hub.SetSweepServers([]gathering.Member{gatherer})
	first, shares := follow(t, hub, addr, gatherer)
	second, none := follow(t, hub, addr, gathering.Member{Addr: "other:1", FailureDomain: "z-2"})
	var last []overload.Share
	require.Eventually(t, func() bool {
		first.Report(nil, demandOf("z-1"), nil)
		second.ReportDemand(demandOf("z-2"))
		for _, source := range []*Source{first, second} {
			_, err := source.Watch(at(7), time.Second)
			require.NoError(t, err)
		}
		for len(shares) > 0 {
			last = <-shares
		}
		return len(last) == 2
	}, eventuallyTimeout, time.Millisecond)
	require.Equal(t, []string{"z-1", "z-2"}, domainsOf(last))
	for _, s := range last {
		require.True(t, s.Limited)
		require.InDelta(t, 0.27, s.Fresh, 0.03)
		require.Equal(t, s.Offered, 4*s.Admitted)
	}
	require.Empty(t, none)
	late, started := follow(t, hub, addr, gatherer)
	require.Len(t, <-started, 2, "a host that starts gets the totals with its first message")
	late.dropLink()
}

// TestReadersExchangeTheDemandOfTheirFollowers guards against shares that each reader
// computes from its own followers only.
func TestReadersExchangeTheDemandOfTheirFollowers(t *testing.T) {
	hub, addr, _ := serve(t)
	publishOne(hub)
	other, otherAddr, _ := serve(t)
	reader, _ := newSource(addr, otherAddr)
	reader.opts.Hub, reader.opts.Self = other, otherAddr
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go reader.Observe(ctx)
	require.Eventually(t, func() bool {
		hub.addDemand(demandOf("z-1"))
		time.Sleep(heartbeatInterval / 4)
		return len(other.fleetShares()) > 0
	}, eventuallyTimeout, time.Millisecond)
	require.Equal(t, []string{"z-1"}, domainsOf(other.fleetShares()))
	other.mu.Lock()
	defer other.mu.Unlock()
	require.Empty(t, other.demand.pending, "what came from a reader isn't passed on")
}

// TestHeartbeatsWithoutOverloadCarryNoDemand guards against messages of fleets that are
// not overloaded.
func TestHeartbeatsWithoutOverloadCarryNoDemand(t *testing.T) {
	hub, _, _ := serve(t)
	publishOne(hub)
	f := &follower{out: make(chan []byte, outboxCapacity)}
	hub.mu.Lock()
	hub.followers[f] = true
	hub.mu.Unlock()
	m, err := decode(<-f.out)
	require.NoError(t, err)
	require.Nil(t, m.Demand)
	require.Nil(t, m.FleetDemand)
	m, err = decode(<-f.out)
	require.NoError(t, err)
	require.NotZero(t, m.OwnHosts)
}
