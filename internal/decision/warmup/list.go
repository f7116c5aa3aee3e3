package warmup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxStewards is the largest number of stewards in a list.
const MaxStewards = 12

// List says which hosts share the rate of cold targets. Hosts are named by their address
// for links of other hosts.
type List struct {
	// Hosts is the number of hosts of the fleet, at least those that are linked to the
	// issuing reader; 0 if no service has a permit for each of them.
	Hosts int `cbor:"1,keyasint,omitempty"`
	// Stewards send to the cold targets of a service that has fewer permits than hosts.
	Stewards []string `cbor:"2,keyasint,omitempty"`
	// Gatherers send to the cold targets of shards, if the fleet has gatherers.
	Gatherers []string `cbor:"3,keyasint,omitempty"`
}

// Equal reports whether both lists give the same shares.
func (l *List) Equal(other *List) bool {
	return l.Hosts == other.Hosts && slices.Equal(l.Stewards, other.Stewards) && slices.Equal(l.Gatherers, other.Gatherers)
}

// Includes reports whether the list may give the host a share of any target.
func (l *List) Includes(host string) bool {
	return l.Hosts > 0 || slices.Contains(l.Stewards, host) || slices.Contains(l.Gatherers, host)
}

// Share returns how many of a target's permits the host has. shard is set for the target of
// a shard, to which only gatherers send if the fleet has some.
func (l *List) Share(host, target string, shard bool, permits int) int {
	switch {
	case shard && len(l.Gatherers) > 0:
		return shareAmong(l.Gatherers, host, target, permits)
	case l.Hosts > 0 && l.Hosts <= permits:
		return permits / l.Hosts
	default:
		return shareAmong(l.Stewards, host, target, permits)
	}
}

// shareAmong divides the permits evenly among the first hosts by rendezvous hashing, as
// many as there are permits at most.
func shareAmong(hosts []string, host, target string, permits int) int {
	holders := min(permits, len(hosts))
	if holders <= 0 || !slices.Contains(hosts, host) {
		return 0
	}
	before := 0
	for _, other := range hosts {
		if other != host && precedes(other, host, target) {
			before++
		}
	}
	if before >= holders {
		return 0
	}
	return permits / holders
}

// precedes reports whether a comes before b in the order for a target.
func precedes(a, b, target string) bool {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(a+"/"+target), xxhash.Sum64String(b+"/"+target)),
		cmp.Compare(a, b),
	) < 0
}
