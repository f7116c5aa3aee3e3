package targetpool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// offsetSteps is the number of different rounding offsets.
	offsetSteps = 1 << 16
	// offsetStdDev bounds the standard deviation of one host's rounding error. The
	// undivided reserve of the slack must cover coveredStdDevs standard deviations
	// of the sum over all hosts.
	offsetStdDev   = 0.5
	coveredStdDevs = 3
	// runningFraction is the fraction of a service's slack that is divided among
	// the hosts that have run for at least one window of the budget.
	runningFraction = 0.7
	// startingFraction is the fraction for hosts that started later. A host that
	// restarts loses the count of what it used before, so both fractions together
	// must fit into the slack. The rest is a reserve, because the hashed offsets
	// are only approximately even over the hosts.
	startingFraction = 0.2
)

// The parts of the extra load of a shard's service in a fleet with gatherers. The first
// is divided among the gatherers, the others among all hosts: for the sweeps that a host
// serves itself since it reaches no gatherer, and for those that it passes on again.
const (
	gatheredPart = 0.45
	directPart   = 0.05
	passedPart   = 0.5
	// passedRatio is the part of the ratio, instead of the slack, for sweeps that are
	// passed on again; the rest is for hedges and retries.
	passedRatio = 0.15
)

// partOf returns the part of a bound for hedges and retries of sub-requests.
func partOf(limit extrabudget.Limit, part float64) extrabudget.Limit {
	limit.Ratio *= 1 - passedRatio
	limit.Slack *= part
	return limit
}

// PassLimit returns one host's bound on sweeps that it passes on again.
func PassLimit(limit extrabudget.Limit, host string, hosts int, age time.Duration) extrabudget.Limit {
	limit.Ratio *= passedRatio
	limit.Slack *= passedPart
	return hostLimit(limit, host, "", hosts, age)
}

// hostLimit returns one host's bound, of which limit is the bound of all hosts.
func hostLimit(limit extrabudget.Limit, host string, service catalog.ServiceName, hosts int, age time.Duration) extrabudget.Limit {
	limit.Offset = offsetOf(limit, host, service, hosts)
	limit.Slack = slackOf(limit, hosts, age)
	return limit
}

// slackOf returns one host's part of the slack of a service's budget, or 0 while
// the number of hosts that share it is unknown.
//
// Invariant: even if every host restarts once within a window, all hosts together
// use no more than the slack in that window.
func slackOf(limit extrabudget.Limit, hosts int, age time.Duration) float64 {
	if hosts <= 0 {
		return 0
	}
	part := runningFraction
	if age < limit.Window {
		part = startingFraction
	}
	return part * limit.Slack / float64(hosts)
}

// offsetOf returns the rounding offset of a host's bound for a service. It is 0 if
// the reserve of the slack does not cover the random unevenness of all hosts'
// offsets.
func offsetOf(limit extrabudget.Limit, host string, service catalog.ServiceName, hosts int) float64 {
	reserve := (1 - runningFraction - startingFraction) * limit.Slack
	if reserve < coveredStdDevs*math.Sqrt(float64(hosts))*offsetStdDev {
		return 0
	}
	return float64(xxhash.Sum64String(host+"/"+string(service))%offsetSteps) / offsetSteps
}
