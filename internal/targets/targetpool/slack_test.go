package targetpool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestSlackIsNotExceededWhenAllHostsRestart lets each host use its whole part of
// the slack before a restart and again after it, within one window.
func TestSlackIsNotExceededWhenAllHostsRestart(t *testing.T) {
	limit := extrabudget.Limit{Slack: 158, Window: 10 * time.Second}
	for _, hosts := range []int{1, 7, 59, 91} {
		for _, restart := range []time.Duration{0, time.Second, 9 * time.Second} {
			used := 0.0
			for range hosts {
				used += slackOf(limit, hosts, time.Hour)
				used += slackOf(limit, hosts, limit.Window-restart-1)
			}
			require.LessOrEqual(t, used, limit.Slack*(1+1e-9), "%d hosts", hosts)
		}
	}
	require.Zero(t, slackOf(limit, 0, time.Hour), "the fleet size is unknown")
}

// TestFleetStaysWithinServiceBound guards against rounding that lets the fleet
// exceed a service's bound. Each host spends all that its rounded bound allows, for
// many services with few requests, before and after a restart of all hosts.
func TestFleetStaysWithinServiceBound(t *testing.T) {
	const ratio, safety = 0.2, 0.9
	random := rand.New(rand.NewPCG(1, 2))
	for _, fleet := range []struct {
		hosts int
		slack float64
	}{{1, 10}, {6, 33}, {6, 52}, {7, 54}, {20, 10}, {20, 54}, {59, 158}, {91, 222}, {300, 222}} {
		limit := extrabudget.Limit{Ratio: ratio * safety, Slack: fleet.slack, Window: 10 * time.Second}
		for shard := range 400 {
			service := catalog.ServiceName(fmt.Sprintf("s-%d", shard))
			requests, extras := 0, 0
			for h := range fleet.hosts {
				host := fmt.Sprintf("host-%d", h)
				for _, age := range []time.Duration{time.Hour, time.Second} {
					own := random.IntN(8)
					requests += own
					extras += spendAll(limit, host, service, fleet.hosts, own, age)
				}
			}
			allowed := ratio*float64(requests) + fleet.slack
			require.LessOrEqual(t, float64(extras), allowed, "%d hosts, %s", fleet.hosts, service)
		}
	}
}

// spendAll returns the number of extra sub-requests that a host's budget grants.
func spendAll(limit extrabudget.Limit, host string, service catalog.ServiceName, hosts, requests int, age time.Duration) int {
	limit.Offset = offsetOf(limit, host, service, hosts)
	limit.Slack = slackOf(limit, hosts, age)
	return spendOf(limit, requests)
}

// TestFleetWithGatherersStaysWithinServiceBound lets gatherers, hosts that serve sweeps
// themselves and hosts that pass sweeps on again spend all that they may for a shard,
// before and after a restart of all of them.
func TestFleetWithGatherersStaysWithinServiceBound(t *testing.T) {
	const ratio, safety = 0.2, 0.9
	random := rand.New(rand.NewPCG(3, 4))
	for _, fleet := range []struct {
		hosts, gatherers int
		slack            float64
	}{{18, 4, 60}, {59, 7, 158}, {73, 9, 186}, {91, 11, 222}, {195, 12, 430}} {
		limit := extrabudget.Limit{Ratio: ratio * safety, Slack: fleet.slack, Window: 10 * time.Second}
		for shard := range 200 {
			service := catalog.ServiceName(fmt.Sprintf("s-%d", shard))
			requests, extras := 0, 0
			for _, age := range []time.Duration{time.Hour, time.Second} {
				passedSum := 0
				for h := range fleet.hosts {
					host := fmt.Sprintf("host-%d", h)
					passed, direct := random.IntN(8), random.IntN(3)
					passedSum += passed
					requests += passed + direct
					extras += spendOf(PassLimit(limit, host, fleet.hosts, age), passed)
					extras += spendOf(hostLimit(partOf(limit, directPart), host, service, fleet.hosts, age), direct)
				}
				for h := range fleet.gatherers {
					host := fmt.Sprintf("host-%d", h)
					extras += spendOf(hostLimit(partOf(limit, gatheredPart), host, service, fleet.gatherers, age), passedSum/fleet.gatherers)
				}
			}
			allowed := ratio*float64(requests) + fleet.slack
			require.LessOrEqual(t, float64(extras), allowed, "%d hosts, %s", fleet.hosts, service)
		}
	}
}

// spendOf returns the number of extra sub-requests that a bound grants after requests.
func spendOf(limit extrabudget.Limit, requests int) int {
	now := time.Now()
	budget := extrabudget.New(limit, now)
	for range requests {
		budget.AddRequest(now)
	}
	granted := 0
	for budget.TakeRetry(now) {
		granted++
	}
	return granted
}
