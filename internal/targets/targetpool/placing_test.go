package targetpool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

func TestSharesStayWithinTargetLimits(t *testing.T) {
	for _, hosts := range []int{1, 2, 6, 7, 16, 59, 91, 300, 1400} {
		for _, targets := range []int{2, 3, 4, 15} {
			for _, maxConns := range []int{25, 26, 52, 68, 100, 410} {
				s := shareOf(maxConns, targets, hosts)
				require.Positive(t, s.conns)
				require.Positive(t, s.targets)
				perTarget := float64(hosts*s.targets*s.conns) / float64(targets)
				// One connection to one target is the least share, whatever the limit.
				if s.targets > 1 || s.conns > 1 {
					require.LessOrEqual(t, perTarget, float64(maxConns), "%d hosts, %d targets, %d connections", hosts, targets, maxConns)
				}
			}
		}
	}
	require.Equal(t, share{targets: 2, conns: 2}, shareOf(26, 2, 7))
	require.Equal(t, share{targets: 1, conns: 1}, shareOf(52, 3, 0), "the fleet size is unknown")
	require.Equal(t, share{targets: 1, conns: 1}, shareOf(52, 3, 59))
}

func TestRankSpreadsHostsEvenlyOverReplicas(t *testing.T) {
	targets := []*catalog.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	firsts := map[catalog.TargetID]int{}
	for i := range 300 {
		firsts[rank(fmt.Sprintf("host-%d", i), targets)[0].ID]++
	}
	for id, n := range firsts {
		require.InDelta(t, 100, n, 30, id)
	}
	require.Equal(t, catalog.TargetID("a"), targets[0].ID, "rank must not reorder its argument")
}
