package targetpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// warmPerTarget is the number of connections that stay open to each target of
	// a host's own share.
	warmPerTarget = 1
	// restartFactor is how many times the hosts' connections must fit into a
	// target's connection limit: for a while the target also counts the dead
	// connections of a host that lost power.
	restartFactor = 2
	// maxConnsPerTarget bounds a host's connections to one target whatever its
	// share is. Beyond it, a queue in the host serves callers better than a queue
	// at the target.
	maxConnsPerTarget = 6
	// preferredConns is the least number of connections to one target, where its
	// limit allows that many for each host, so that a second request can start
	// while the first is delayed.
	preferredConns = 2
	// largeFleet is the number of hosts from which on a starting host spreads its
	// warm connections over largeFleetSpread, in case all hosts start together: a
	// connection costs a target about as much as a request, and a target with a
	// long queue accepts fewer.
	largeFleet       = 16
	largeFleetSpread = 500 * time.Millisecond
	// plannedFraction is the fraction of a target's connection limit that the hosts
	// divide. The rest is for hosts that have not discovered each other yet.
	plannedFraction = 0.9
)

// share is a host's part of the connections to the targets of one service.
type share struct {
	// targets is the number of the service's targets to which the host keeps
	// connections, and conns is the maximum number of connections to each.
	targets int
	conns   int
}

// shareOf divides the connection limit of each of a service's targets among the
// hosts. If the fleet is too large for every host to connect to every target,
// each host keeps one connection to some of the replicas. While the number of
// hosts is unknown (hosts is 0), a host connects to one replica only: if all hosts
// fail, their dead connections remain at the targets, and as many new ones fit
// only if no host opens more than it would in the largest fleet.
func shareOf(maxConns, targets, hosts int) share {
	if hosts <= 0 {
		return share{targets: min(1, targets), conns: 1}
	}
	if float64(hosts) > plannedFraction*float64(maxConns) {
		part := int(plannedFraction * float64(maxConns) * float64(targets) / float64(restartFactor*hosts))
		return share{targets: min(max(part, 1), targets), conns: 1}
	}
	conns := maxConns / (restartFactor * hosts)
	if preferredConns*hosts <= maxConns {
		conns = max(conns, preferredConns)
	}
	return share{targets: targets, conns: min(max(conns, 1), maxConnsPerTarget)}
}

// warmSpread returns the time over which a host spreads the opening of warm
// connections. A fleet of unknown size is treated as a large one.
func warmSpread(hosts int) time.Duration {
	if hosts > 0 && hosts < largeFleet {
		return 0
	}
	return largeFleetSpread
}

// rank orders a service's targets by rendezvous hashing, so that the hosts' shares
// are spread evenly and change little when targets are added or removed.
func rank(host string, targets []*catalog.Target) []*catalog.Target {
	ranked := slices.Clone(targets)
	weight := func(t *catalog.Target) uint64 { return xxhash.Sum64String(host + "/" + string(t.ID)) }
	slices.SortFunc(ranked, func(a, b *catalog.Target) int { return cmp.Compare(weight(a), weight(b)) })
	return ranked
}
