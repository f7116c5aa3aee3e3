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
	// offsetDeviation bounds the standard deviation of one host's rounding, and
	// offsetDeviations is how many of all hosts' together are covered.
	offsetDeviation  = 0.5
	offsetDeviations = 3
	// slackPart of a service's slack is divided among the hosts that have run
	// for a window of the budget.
	slackPart = 0.7
	// startingPart is divided among those that started later: a host that
	// restarts has forgotten what it used, and both parts fit into the slack. The
	// rest covers that the offsets are spread evenly by chance only.
	startingPart = 0.2
)

// slackOf is one host's part of the slack of a service's budget, none while the
// number of hosts that share it is not known.
//
// Invariant: in any window, hosts that restart once in it use no more than the
// slack together, even if all of them do.
func slackOf(limit extrabudget.Limit, hosts int, age time.Duration) float64 {
	if hosts <= 0 {
		return 0
	}
	part := slackPart
	if age < limit.Window {
		part = startingPart
	}
	return part * limit.Slack / float64(hosts)
}

// offsetOf is the rounding offset of a host's bound for a service. There is none
// where the part of the slack that nobody has would not cover the chance that
// the offsets of the hosts together are uneven.
func offsetOf(limit extrabudget.Limit, host string, service catalog.ServiceName, hosts int) float64 {
	reserve := (1 - slackPart - startingPart) * limit.Slack
	if reserve < offsetDeviations*math.Sqrt(float64(hosts))*offsetDeviation {
		return 0
	}
	return float64(xxhash.Sum64String(host+"/"+string(service))%offsetSteps) / offsetSteps
}
