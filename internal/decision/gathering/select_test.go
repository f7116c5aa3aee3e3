package gathering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet returns hosts in six failure domains, every tenth one large.
func fleet(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), FailureDomain: fmt.Sprint("z-", i%6), Capacity: 192}
		if i%10 == 0 {
			members[i].Capacity = 800
		}
	}
	return members
}

func TestGatherersAreSpreadOverDomainsAndLargestFirst(t *testing.T) {
	require.Zero(t, Count(MinHosts-1))
	selected := Select(fleet(195), Count(195))
	require.Len(t, selected, MaxGatherers)
	perDomain := map[string]int{}
	for _, m := range selected {
		require.Equal(t, 800, m.Capacity)
		perDomain[m.FailureDomain]++
	}
	require.Len(t, perDomain, 3, "the large hosts are in three domains")
	for domain, n := range perDomain {
		require.Equal(t, 4, n, domain)
	}
}

// TestSelectionDependsOnSetAndChangesLittle shuffles the members and removes some of
// them: hosts that know the same members select the same gatherers, and the loss of one
// host replaces at most that host.
func TestSelectionDependsOnSetAndChangesLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		members := fleet(17 + random.IntN(180))
		n := Count(len(members))
		selected := Select(members, n)
		require.LessOrEqual(t, len(selected), n)
		require.GreaterOrEqual(t, len(selected), minGatherers)
		shuffled := slices.Clone(members)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		require.Equal(t, selected, Select(shuffled, n))
		lost := random.IntN(len(members))
		rest := slices.Delete(slices.Clone(members), lost, lost+1)
		kept := 0
		for _, m := range Select(rest, n) {
			if slices.Contains(selected, m) {
				kept++
			}
		}
		require.GreaterOrEqual(t, kept, len(selected)-1)
	}
	require.Empty(t, Select(nil, 4))
}

func TestGatherersAreNeededOnlyWhereConnectionsDontFit(t *testing.T) {
	require.False(t, Needed(7, 10), "a small fleet")
	require.False(t, Needed(18, 120))
	require.True(t, Needed(59, 52))
	require.True(t, Needed(195, 120))
}

func TestSmallHostsGatherOnlyIfThereAreTooFewLargeOnes(t *testing.T) {
	members := fleet(60)
	require.Len(t, Select(members, MaxGatherers), 6, "there are six large hosts")
	few := members[:21]
	selected := Select(few, MaxGatherers)
	require.Len(t, selected, minGatherers)
	small := 0
	for _, m := range selected {
		if m.Capacity < 800 {
			small++
		}
	}
	require.Equal(t, 1, small)
	for i := range members {
		members[i].Capacity = 192
	}
	require.Len(t, Select(members, MaxGatherers), MaxGatherers)
}

func TestHostsPreferNearGatherersAndSpreadOverThem(t *testing.T) {
	selected := Select(fleet(195), Count(195))
	first := map[string]int{}
	for i := range 195 {
		domain := fmt.Sprint("z-", 2*(i%3))
		ordered := Order(fmt.Sprint("host-", i), domain, selected)
		require.Len(t, ordered, len(selected))
		require.Equal(t, domain, ordered[0].FailureDomain)
		first[ordered[0].Addr]++
	}
	for addr, n := range first {
		require.Less(t, n, 195*2/MaxGatherers, addr)
	}
}
