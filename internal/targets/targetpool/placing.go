package targetpool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// warm is the number of connections kept open to each target of a host's
	// own share.
	warm = 1
	// restarts is how many times over the hosts' connections should fit what a
	// target takes: it counts those of a host that lost power for a while
	// beside the new ones.
	restarts = 2
	// mostConns bounds the connections to one target whatever its share is:
	// beyond it a queue in the host serves callers better than one at the target.
	mostConns = 6
	// fewConns lets a second request start while the first is delayed, where
	// the target takes that many from each host.
	fewConns = 2
	// crowd is the size of a fleet from which on hosts that start together spread
	// their connections over crowdSpread: each costs a target about as much as a
	// request, and a target whose queue is long takes fewer.
	crowd       = 16
	crowdSpread = 500 * time.Millisecond
	// fill is the part of a target's connections that the hosts plan with; the
	// rest is for hosts that don't know of each other yet.
	fill = 0.9
)

// share is a host's part of the connections to the targets of one service.
type share struct {
	// targets is the number of the service's targets that the host keeps
	// connections to, conns the most connections to each.
	targets int
	conns   int
}

// shareOf divides what each of a service's targets takes among the hosts. It
// answers fleets whose hosts can't all connect to all targets: each host then
// keeps one connection to some of the replicas. While the number of hosts is not
// known, which hosts 0 says, a host keeps to one replica: the loss of all hosts
// leaves their dead connections at the targets, and there is room for as many
// new ones only if no host takes more than in the largest fleet.
func shareOf(maxConns, targets, hosts int) share {
	if hosts <= 0 {
		return share{targets: min(1, targets), conns: 1}
	}
	if float64(hosts) > fill*float64(maxConns) {
		part := int(fill * float64(maxConns) * float64(targets) / float64(restarts*hosts))
		return share{targets: min(max(part, 1), targets), conns: 1}
	}
	conns := maxConns / (restarts * hosts)
	if fewConns*hosts <= maxConns {
		conns = max(conns, fewConns)
	}
	return share{targets: targets, conns: min(max(conns, 1), mostConns)}
}

// warmSpread is the time over which a host opens connections that no call waits
// for yet. A fleet whose size is not known may be large.
func warmSpread(hosts int) time.Duration {
	if hosts > 0 && hosts < crowd {
		return 0
	}
	return crowdSpread
}

// rank orders a service's targets by rendezvous hashing, so that the hosts'
// shares are spread evenly and change little as targets come and go.
func rank(host string, targets []*catalog.Target) []*catalog.Target {
	ranked := slices.Clone(targets)
	weight := func(t *catalog.Target) uint64 { return xxhash.Sum64String(host + "/" + string(t.ID)) }
	slices.SortFunc(ranked, func(a, b *catalog.Target) int { return cmp.Compare(weight(a), weight(b)) })
	return ranked
}
