package edge

import (
	"maps"
	"time"
)

// domainSizes follows the number of hosts by failure domain with a delay for
// falls, so that hosts that restart don't move the others' connections.
type domainSizes struct {
	value map[string]int
	since time.Time
}

// see takes the numbers known now and returns those to count on.
func (d *domainSizes) see(known map[string]int, now time.Time) map[string]int {
	if d.value == nil || now.Sub(d.since) > sizeHold {
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
