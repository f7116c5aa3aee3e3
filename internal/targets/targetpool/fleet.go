package targetpool

import (
	"maps"
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Fleet is what a host knows of the hosts that share the targets with it.
type Fleet struct {
	// Hosts is their number with itself, 0 while it is not known.
	Hosts int
	// Domains divides them by failure domain; it may be empty.
	Domains map[string]int
}

func (f Fleet) equal(other Fleet) bool {
	return f.Hosts == other.Hosts && maps.Equal(f.Domains, other.Domains)
}

// nearFits reports whether all hosts of a failure domain can keep their
// connections to the targets in it. Hosts without a target in theirs are spread
// over all targets. While the fleet is not known it is taken to be even.
func (f Fleet) nearFits(domain string, targets []*catalog.Target, maxConns int) bool {
	if f.Hosts <= 0 {
		return true
	}
	near, served := 0, map[string]bool{}
	for _, t := range targets {
		served[t.FailureDomain] = true
		if t.FailureDomain == domain {
			near++
		}
	}
	if near == 0 || f.Domains[domain] == 0 {
		return false
	}
	far := 0
	for d, n := range f.Domains {
		if !served[d] {
			far += n
		}
	}
	load := float64(f.Domains[domain])/float64(near) + float64(far)/float64(len(targets))
	return load*restarts <= float64(maxConns)
}

// nearFirst moves the targets of a failure domain to the front.
func nearFirst(domain string, targets []*catalog.Target) []*catalog.Target {
	near := slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return t.FailureDomain != domain })
	far := slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return t.FailureDomain == domain })
	return append(near, far...)
}
