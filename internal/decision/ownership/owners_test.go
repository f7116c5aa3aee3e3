package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// fleetOf returns live hosts, spread in turn over the failure domains, and targets,
// spread in turn over the regions. Each domain belongs to one region.
func fleetOf(hosts, domains, regions, targets int) ([]model.Host, map[model.TargetID]*model.Target) {
	list := make([]model.Host, hosts)
	for i := range list {
		domain := i % domains
		list[i] = model.Host{
			ID: model.HostID(fmt.Sprintf("host-%d", i)), State: model.Live,
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", domain)),
			Region:        model.Region(fmt.Sprintf("region-%d", domain%regions)),
		}
	}
	all := make(map[model.TargetID]*model.Target, targets)
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("target-%d", i))
		all[id] = &model.Target{ID: id, Region: model.Region(fmt.Sprintf("region-%d", i%regions))}
	}
	return list, all
}

// naiveOwners selects the owner and standby from a full ranking of the hosts.
func naiveOwners(hosts []model.Host, target *model.Target) (owner, standby model.HostID) {
	pick := func(eligible func(model.Host) bool) []model.Host {
		var live []model.Host
		for _, h := range hosts {
			if h.State == model.Live && eligible(h) {
				live = append(live, h)
			}
		}
		return Rank(string(target.ID), live, len(live))
	}
	ranked := pick(func(h model.Host) bool { return h.Region == target.Region })
	if len(ranked) == 0 {
		ranked = pick(func(model.Host) bool { return true })
	}
	if len(ranked) == 0 {
		return "", ""
	}
	for _, h := range ranked[1:] {
		if h.FailureDomain != ranked[0].FailureDomain {
			return ranked[0].ID, h.ID
		}
	}
	if len(ranked) > 1 {
		standby = ranked[1].ID
	}
	return ranked[0].ID, standby
}

func TestBuildMatchesFullRanking(t *testing.T) {
	// Each shape holds the numbers of hosts, failure domains and regions.
	shapes := [][3]int{{0, 1, 1}, {1, 1, 1}, {2, 1, 1}, {7, 3, 1}, {7, 4, 2}, {40, 6, 3}, {6, 6, 6}}
	for _, s := range shapes {
		hosts, targets := fleetOf(s[0], s[1], s[2], 200)
		for i := range hosts {
			if i%5 == 4 {
				hosts[i].State = model.Leaving
			}
		}
		for id, got := range Build(hosts, targets) {
			owner, standby := naiveOwners(hosts, targets[id])
			require.Equal(t, owner, got.Owner, "%v %s", s, id)
			require.Equal(t, standby, got.Standby, "%v %s", s, id)
		}
	}
}

func TestOwnersAreIndependentOfHostOrder(t *testing.T) {
	hosts, targets := fleetOf(20, 4, 2, 300)
	before := Build(hosts, targets)
	slices.Reverse(hosts)
	require.Equal(t, before, Build(hosts, targets))
}

func TestLeavingHostChangesOwnersOfOnlyItsTargets(t *testing.T) {
	hosts, targets := fleetOf(10, 5, 1, 1000)
	before := Build(hosts, targets)
	leaving := hosts[3].ID
	hosts[3].State = model.Leaving
	for id, after := range Build(hosts, targets) {
		if before[id].Owner == leaving {
			require.NotEqual(t, leaving, after.Owner)
			require.NotEmpty(t, after.Owner)
		} else {
			require.Equal(t, before[id].Owner, after.Owner)
		}
	}
}

func TestTargetsAreDistributedEvenlyOverHosts(t *testing.T) {
	hosts, targets := fleetOf(10, 5, 1, 10000)
	count := make(map[model.HostID]int)
	for _, o := range Build(hosts, targets) {
		count[o.Owner]++
	}
	for _, n := range count {
		// The mean is 1000 targets per host, and 200 is the tolerance.
		require.InDelta(t, 1000, n, 200)
	}
}

func BenchmarkBuild7900Targets1400Hosts(b *testing.B) {
	hosts, targets := fleetOf(1400, 18, 7, 7900)
	b.ReportAllocs()
	for b.Loop() {
		Build(hosts, targets)
	}
}

func BenchmarkRank5Of1400(b *testing.B) {
	hosts, _ := fleetOf(1400, 18, 7, 0)
	r := NewRanker(hosts)
	b.ReportAllocs()
	for b.Loop() {
		r.Rank("0193a4d2-1111-7000-8000-000000000000", 5)
	}
}
