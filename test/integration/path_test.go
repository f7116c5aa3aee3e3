package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/test/harness"
)

// awaitCompleteAnswer queries host until an answer covers all shards. Each earlier
// answer must be correct as well.
func awaitCompleteAnswer(t *testing.T, f *harness.Fleet, host *harness.Host) {
	t.Helper()
	body := harness.Body(1)
	harness.Eventually(t, string(host.ID)+" returns a complete answer", func() bool {
		answer, err := host.Ask(t, f.Shape.Workload, body)
		if err != nil {
			return false
		}
		require.NoError(t, f.Verify(body, answer))
		return answer.Coverage.Answered == answer.Coverage.Shards
	})
}

// TestQueriesAreAnsweredAfterHostAndTargetKills queries a fleet of 40 targets and 3
// hosts before and after a host and several targets are killed, and after the host
// and one target are restarted. A shard without a target must be reported missing.
func TestQueriesAreAnsweredAfterHostAndTargetKills(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 3})
	require.Len(t, f.Targets, 40)
	for _, host := range f.Hosts {
		awaitCompleteAnswer(t, f, host)
	}

	f.Hosts[0].Kill(t)
	awaitCompleteAnswer(t, f, f.Hosts[1])
	awaitCompleteAnswer(t, f, f.Hosts[2])

	const killedServices = 5
	for i := range killedServices {
		f.Target(t, f.Shape.Target(i, 0)).Kill(t)
	}
	awaitCompleteAnswer(t, f, f.Hosts[1])
	awaitCompleteAnswer(t, f, f.Hosts[2])

	f.Target(t, f.Shape.Target(0, 1)).Kill(t)
	body := harness.Body(2)
	harness.Eventually(t, "the answer reports the shard without a target as missing", func() bool {
		answer, err := f.Hosts[1].Ask(t, f.Shape.Workload, body)
		if err != nil {
			return false
		}
		require.NoError(t, f.Verify(body, answer))
		missing := answer.Coverage.Missing
		return len(missing) == 1 && missing[0].Shard == f.Shape.Shard(0)
	})

	f.Target(t, f.Shape.Target(0, 0)).Restart(t)
	awaitCompleteAnswer(t, f, f.Hosts[1])
	f.Hosts[0].Restart(t)
	f.AwaitReady(t)
	awaitCompleteAnswer(t, f, f.Hosts[0])
	requireMetricsDocumented(t, f.Hosts[1])
}
