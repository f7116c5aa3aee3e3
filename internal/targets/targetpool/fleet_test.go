package targetpool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

func threeReplicas() []*catalog.Target {
	return []*catalog.Target{
		{ID: "a", FailureDomain: "z-a"}, {ID: "b", FailureDomain: "z-b"}, {ID: "c", FailureDomain: "z-c"},
	}
}

// TestHostsPreferTheirFailureDomainWithinTargetLimits checks a large fleet: where
// sameDomainFits allows it, each host's first replica is in its own failure domain,
// and no target receives connections for more than half of its limit.
func TestHostsPreferTheirFailureDomainWithinTargetLimits(t *testing.T) {
	const maxConns = 52
	for name, domains := range map[string]map[string]int{
		"even":   {"z-a": 15, "z-b": 15, "z-c": 15, "z-d": 14},
		"uneven": {"z-a": 40, "z-b": 9, "z-c": 5, "z-d": 5},
	} {
		fleet := Fleet{Domains: domains}
		for _, n := range domains {
			fleet.Hosts += n
		}
		taken := map[catalog.TargetID]int{}
		for domain, n := range domains {
			for i := range n {
				host := fmt.Sprintf("%s-%d", domain, i)
				targets := rank(host, threeReplicas())
				if fleet.sameDomainFits(domain, targets, maxConns) {
					targets = sameDomainFirst(domain, targets)
					require.True(t, domain == "z-d" || targets[0].FailureDomain == domain)
				}
				taken[targets[0].ID]++
			}
		}
		for id, n := range taken {
			require.LessOrEqual(t, n, maxConns/restartFactor, "%s: hosts at %s", name, id)
		}
	}
}

func TestSameDomainFitsNeedsHostsAndTargetsInDomainOfKnownFleet(t *testing.T) {
	require.True(t, Fleet{}.sameDomainFits("z-a", threeReplicas(), 52))
	require.False(t, Fleet{Hosts: 59}.sameDomainFits("z-a", threeReplicas(), 52))
	require.False(t, Fleet{Hosts: 59, Domains: map[string]int{"z-d": 59}}.sameDomainFits("z-d", threeReplicas(), 52))
}
