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
	// since is the time at which falls were last applied.
	since time.Time
}

// update takes the numbers known now and returns those to use.
func (d *domainSizes) update(known map[string]int, now time.Time) map[string]int {
	if d.value == nil || now.Sub(d.since) > shrinkDelay {
		d.value, d.since = known, now
		return d.value
	}
	next := maps.Clone(d.value)
	for domain, n := range known {
		next[domain] = max(next[domain], n)
	}
	d.value = next
	return next
}
