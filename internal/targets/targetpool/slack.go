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
