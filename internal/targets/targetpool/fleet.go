package targetpool

import (
	"maps"
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Fleet describes the hosts that share the targets.
type Fleet struct {
	// Hosts is their number including this host, 0 while it is unknown.
	Hosts int
	// Assumed is set if Hosts is not known but assumed, which is enough to divide connections
	// but not the slack of a bound that all hosts share.
	Assumed bool
	// Domains is the number of hosts in each failure domain; it may be empty.
	Domains map[string]int
	// Gatherers is the number of hosts that gather sweeps for all, 0 if each host
	// serves its sweeps itself. Gathers is set if this host is one of them.
	Gatherers int
	Gathers   bool
}

func (f Fleet) equal(other Fleet) bool {
	return f.Hosts == other.Hosts && f.Assumed == other.Assumed && f.Gatherers == other.Gatherers && f.Gathers == other.Gathers && maps.Equal(f.Domains, other.Domains)
}

// Sharers returns the number of hosts that share the slack of a bound, 0 while it is unknown.
func (f Fleet) Sharers() int {
	if f.Assumed {
		return 0
	}
	return f.Hosts
}

// sameDomainFits reports whether the targets in a failure domain can hold a
// connection from every host of the domain, restartFactor times over. Hosts in a
// domain without a target count as spread evenly over all targets. While the size
// of the fleet is unknown, the hosts are assumed to be spread evenly over the
// domains and sameDomainFits returns true.
func (f Fleet) sameDomainFits(domain string, targets []*catalog.Target, maxConns int) bool {
	if f.Hosts <= 0 {
		return true
	}
	same, served := 0, map[string]bool{}
	for _, t := range targets {
		served[t.FailureDomain] = true
		if t.FailureDomain == domain {
			same++
		}
	}
	if same == 0 || f.Domains[domain] == 0 {
		return false
	}
	unserved := 0
	for d, n := range f.Domains {
		if !served[d] {
			unserved += n
		}
	}
	load := float64(f.Domains[domain])/float64(same) + float64(unserved)/float64(len(targets))
	return load*restartFactor <= float64(maxConns)
}

// sameDomainFirst returns the targets with those of a failure domain moved to the
// front.
func sameDomainFirst(domain string, targets []*catalog.Target) []*catalog.Target {
	same := slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return t.FailureDomain != domain })
	others := slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return t.FailureDomain == domain })
	return append(same, others...)
}
