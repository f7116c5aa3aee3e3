package edge

import (
	"maps"
	"time"
)

// domainSizes tracks the number of hosts by failure domain. It applies rises at
// once and falls with a delay, so that a host's restart doesn't make the others
// rebalance their connections.
type domainSizes struct {
	value map[string]int
	// since is, for each domain, when a number at least as large as value was last known.
	since map[string]time.Time
}

// update takes the numbers known now and returns those to use.
func (d *domainSizes) update(known map[string]int, now time.Time) map[string]int {
	if d.since == nil {
		d.since = map[string]time.Time{}
	}
	next := maps.Clone(known)
	for domain, n := range d.value {
		if known[domain] < n && now.Sub(d.since[domain]) <= shrinkDelay {
			next[domain] = n
			continue
		}
		if known[domain] == 0 {
			delete(d.since, domain)
		}
	}
	for domain, n := range next {
		if known[domain] >= n {
			d.since[domain] = now
		}
	}
	d.value = next
	return next
}
