package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// evenLoad is a load of three ranks from three failure domains.
func evenLoad(hosts int, factor float64, fleet bool) playLoad {
	return playLoad{
		hosts: hosts, factor: factor, fleet: fleet, ranks: []float64{0.3, 0.4, 0.3},
		domains: map[string]float64{"a": 0.34, "b": 0.33, "c": 0.33},
	}
}

// TestGoodputIsSustainedPastCapacity guards against requests that are all admitted and
// then late, against a less urgent rank that is served better than the most urgent one,
// and against a failure domain that is served worse than the others.
func TestGoodputIsSustainedPastCapacity(t *testing.T) {
	for _, fleet := range []struct {
		name  string
		hosts int
		fleet bool
	}{{"one host", 1, false}, {"nine hosts", 9, false}, {"nine hosts with totals", 9, true}} {
		t.Run(fleet.name, func(t *testing.T) {
			best := 0.0
			for _, factor := range []float64{0.5, 0.9, 2, 4, 6, 10} {
				p := runPlay(evenLoad(fleet.hosts, factor, fleet.fleet))
				_, bestRank := worstAndBest(p.byRank)
				worstDomain, bestDomain := worstAndBest(p.byDomain)
				t.Logf("%4.1f times: goodput %.0f/s, ranks %.2f %.2f %.2f, domains %.3f to %.3f, refused twice %d of %d", factor,
					p.goodput(), p.byRank[0].share(), p.byRank[1].share(), p.byRank[2].share(), worstDomain, bestDomain, p.total.refusedTwice, p.total.callers)
				require.GreaterOrEqual(t, p.goodput(), 0.9*best, "goodput at %v times", factor)
				require.GreaterOrEqual(t, p.byRank[0].share(), 0.85*bestRank, "most urgent rank at %v times", factor)
				require.GreaterOrEqual(t, worstDomain, 0.9*bestDomain, "failure domains at %v times", factor)
				best = max(best, p.goodput())
			}
		})
	}
}
