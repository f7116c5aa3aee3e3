package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
)

const (
	// slackPart of a service's slack is divided among the hosts that have run
	// for a window of the budget.
	slackPart = 0.8
	// startingPart is divided among those that started later: a host that
	// restarts has forgotten what it used, and both parts fit into the slack.
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
