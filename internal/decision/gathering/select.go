// Package gathering decides which hosts of a large fleet gather sweeps for the others.
//
// It answers the load of a fleet with about as many hosts as a target accepts
// connections: if every host connects to every target, a host uses each connection so
// rarely that targets close it in between, its own statistics of a target are always
// old, and after the loss of all hosts the dead connections fill the targets' limits.
// A few hosts with warm connections to all replicas gather for all instead. The package
// does no I/O and starts no goroutines.
package gathering

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinHosts is the number of hosts from which on a fleet has gatherers.
	MinHosts = 16
	// MaxGatherers is the largest number of gatherers of a fleet.
	MaxGatherers = 12
	// minGatherers is the least number, hostsPerGatherer the size of the fleet for each.
	minGatherers     = 4
	hostsPerGatherer = 8
	// restartFactor is how many times the hosts' connections must fit into a target's
	// limit: for a while it also counts the dead connections of hosts that lost power.
	restartFactor = 2
	// capacityStep is the capacity, in thousandths of a core, in whose multiples hosts
	// are compared: small differences don't decide.
	capacityStep = 100
	// capacityShare is the least capacity of a gatherer relative to the largest host.
	capacityShare = 0.5
)

// Member is a host that can gather.
type Member struct {
	// Addr is the address for links of other hosts.
	Addr          string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint,omitempty"`
	// Capacity is the host's processor capacity in thousandths of a core.
	Capacity int `cbor:"3,keyasint,omitempty"`
}

// Count returns the number of gatherers of a fleet, 0 for a small one, in which each
// host serves sweeps itself.
func Count(hosts int) int {
	if hosts < MinHosts {
		return 0
	}
	return min(max(hosts/hostsPerGatherer, minGatherers), MaxGatherers)
}

// Needed reports whether a fleet needs gatherers: if not every host can keep a connection
// to every target, twice over for hosts that restart, of which each accepts maxConns. Where
// they can, a hop only costs time.
func Needed(hosts, maxConns int) bool {
	return hosts >= MinHosts && restartFactor*hosts > maxConns
}

// Select returns the gatherers among the members, sorted by address: at most n, spread
// evenly over the failure domains, in each the ones with the most capacity. Members with
// much less capacity than the largest are left out if at least minGatherers remain: a
// sweep takes a small host too much processor time. The selection depends on the set of
// members only. A member that comes or goes changes few of them.
func Select(members []Member, n int) []Member {
	members = largest(members)
	byDomain := map[string][]Member{}
	for _, m := range members {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	domains := make([]string, 0, len(byDomain))
	for domain, list := range byDomain {
		domains = append(domains, domain)
		slices.SortFunc(list, compareCapacity)
	}
	slices.Sort(domains)
	var selected []Member
	for rank := 0; len(selected) < min(n, len(members)); rank++ {
		for _, domain := range domains {
			if list := byDomain[domain]; rank < len(list) && len(selected) < n {
				selected = append(selected, list[rank])
			}
		}
	}
	slices.SortFunc(selected, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return selected
}

// largest returns the members with at least capacityShare of the most capacity, but no
// fewer than minGatherers.
func largest(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, compareCapacity)
	end := 0
	for end < len(sorted) && (end < minGatherers || float64(sorted[end].Capacity) >= capacityShare*float64(sorted[0].Capacity)) {
		end++
	}
	return sorted[:end]
}

// compareCapacity orders members with more capacity first, equal ones by a hash.
func compareCapacity(a, b Member) int {
	return cmp.Or(
		cmp.Compare(b.Capacity/capacityStep, a.Capacity/capacityStep),
		cmp.Compare(xxhash.Sum64String(a.Addr), xxhash.Sum64String(b.Addr)),
		cmp.Compare(a.Addr, b.Addr),
	)
}

// Order returns the gatherers in the order in which a host prefers them: those of its
// own failure domain first, each group by a hash that spreads the hosts evenly.
func Order(host, domain string, gatherers []Member) []Member {
	ordered := slices.Clone(gatherers)
	weight := func(m Member) uint64 { return xxhash.Sum64String(host + "/" + m.Addr) }
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Or(compareBool(a.FailureDomain == domain, b.FailureDomain == domain), cmp.Compare(weight(a), weight(b)))
	})
	return ordered
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
