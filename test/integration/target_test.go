package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/test/harness"
)

// queriesPerRound is how many queries queryAll sends.
const queriesPerRound = 50

// withFullCoverage changes a policy so that a query requires all shards. It also raises
// the default deadline to the maximum deadline.
func withFullCoverage(p *config.Policy) {
	p.MinCoverage = 1
	p.DeadlineDefaultMS = p.DeadlineMaxMS
}

// queryAll sends queries to each host in turn and requires complete, correct answers.
func queryAll(t *testing.T, f *harness.Fleet) {
	t.Helper()
	for n := range queriesPerRound {
		answer, err := f.Hosts[n%len(f.Hosts)].Ask(t, f.Shape.Workload, harness.Body(n))
		require.NoError(t, err)
		require.NoError(t, f.Verify(harness.Body(n), answer))
		require.Empty(t, answer.Coverage.Missing)
	}
}

// queryUntilTargetRuns sends queries until the target finishes another run. The id "*"
// selects the runs of all requests.
func queryUntilTargetRuns(t *testing.T, f *harness.Fleet, target *harness.Target) {
	t.Helper()
	from := target.Runs(t, "*").Finished
	harness.Eventually(t, string(target.ID)+" receives work again", func() bool {
		queryAll(t, f)
		return target.Runs(t, "*").Finished > from
	})
}

// leavingOnAllHosts reports whether every host that lists the target lists it as
// leaving.
func leavingOnAllHosts(t *testing.T, f *harness.Fleet, target *harness.Target) bool {
	t.Helper()
	for _, host := range f.Hosts {
		list, err := host.Admin().Targets()
		require.NoError(t, err)
		for _, listed := range list.Targets {
			if listed.ID == target.ID && listed.State != adminapi.TargetLeaving {
				return false
			}
		}
	}
	return true
}

// TestAnswersStayCompleteDuringTargetFaults silences the connections of one target,
// pauses the process of another and marks a third as leaving. Every answer must stay
// complete and correct, and each target must run queries again afterwards.
func TestAnswersStayCompleteDuringTargetFaults(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 3, TargetProxies: true, Policy: withFullCoverage})
	queryAll(t, f)

	t.Run("silent connections", func(t *testing.T) {
		target := f.Target(t, f.Shape.Target(1, 0))
		queryUntilTargetRuns(t, f, target)
		links := target.Proxy.Links()
		require.NotEmpty(t, links)
		for _, link := range links {
			link.SetRule(faultproxy.Blackhole())
		}
		queryAll(t, f)
		queryUntilTargetRuns(t, f, target)
	})
	t.Run("paused process", func(t *testing.T) {
		target := f.Target(t, f.Shape.Target(2, 0))
		target.Pause(t)
		queryAll(t, f)
		target.Resume(t)
		queryUntilTargetRuns(t, f, target)
	})
	t.Run("marked as leaving in the host list", func(t *testing.T) {
		target := f.Target(t, f.Shape.Target(3, 0))
		f.SetLeaving(t, target.ID)
		harness.Eventually(t, "each host lists the target as leaving", func() bool { return leavingOnAllHosts(t, f, target) })
		before := target.Runs(t, "*").Started
		queryAll(t, f)
		require.Equal(t, before, target.Runs(t, "*").Started, "a leaving target must receive no new work")
		f.SetLeaving(t) // without targets, no target is marked as leaving
		queryUntilTargetRuns(t, f, target)
	})
}
