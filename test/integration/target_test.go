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

// queries is how many queries a test sends to see what targets get.
const queries = 50

// wantAll makes an answer wait for all shards.
func wantAll(p *config.Policy) {
	p.MinCoverage = 1
	p.DeadlineDefaultMS = p.DeadlineMaxMS
}

// askAll sends queries to each host in turn and expects whole answers.
func askAll(t *testing.T, f *harness.Fleet) {
	t.Helper()
	for n := range queries {
		answer, err := f.Hosts[n%len(f.Hosts)].Ask(t, f.Shape.Workload, harness.Body(n))
		require.NoError(t, err)
		require.NoError(t, f.Verify(harness.Body(n), answer))
		require.Empty(t, answer.Coverage.Missing)
	}
}

// awaitWork sends queries until target gets some that is new.
func awaitWork(t *testing.T, f *harness.Fleet, target *harness.Target) {
	t.Helper()
	from := target.Runs(t, "*").Finished
	harness.Eventually(t, string(target.ID)+" gets work again", func() bool {
		askAll(t, f)
		return target.Runs(t, "*").Finished > from
	})
}

// leavingEverywhere reports whether each host knows that target is leaving.
func leavingEverywhere(t *testing.T, f *harness.Fleet, target *harness.Target) bool {
	t.Helper()
	for _, host := range f.Hosts {
		list, err := host.Admin().Targets()
		require.NoError(t, err)
		for _, seen := range list.Targets {
			if seen.ID == target.ID && seen.State != adminapi.TargetLeaving {
				return false
			}
		}
	}
	return true
}

// TestTargetFaults runs one fleet through the faults of single targets. Every
// answer must stay whole and right.
func TestTargetFaults(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 3, TargetProxies: true, Policy: wantAll})
	askAll(t, f)

	t.Run("silent connections", func(t *testing.T) {
		target := f.Target(t, f.Shape.Target(1, 0))
		awaitWork(t, f, target)
		links := target.Proxy.Links()
		require.NotEmpty(t, links)
		for _, link := range links {
			link.SetRule(faultproxy.Blackhole())
		}
		askAll(t, f)
		awaitWork(t, f, target)
	})
	t.Run("frozen process", func(t *testing.T) {
		target := f.Target(t, f.Shape.Target(2, 0))
		target.Pause(t)
		askAll(t, f)
		target.Resume(t)
		awaitWork(t, f, target)
	})
	t.Run("leaving by the host list", func(t *testing.T) {
		target := f.Target(t, f.Shape.Target(3, 0))
		f.SetLeaving(t, target.ID)
		harness.Eventually(t, "each host knows it", func() bool { return leavingEverywhere(t, f, target) })
		before := target.Runs(t, "*").Started
		askAll(t, f)
		require.Equal(t, before, target.Runs(t, "*").Started, "new work for a target that is leaving")
		f.SetLeaving(t)
		awaitWork(t, f, target)
	})
}
