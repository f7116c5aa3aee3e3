package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	loadCallers = 6
	loadPause   = 10 * time.Millisecond
	// answersPerStep is the number of complete answers that the load must get before
	// the test continues.
	answersPerStep = 30
)

// awaitAnswers waits until the load has got answersPerStep more complete answers.
func awaitAnswers(t *testing.T, load *harness.Load) {
	t.Helper()
	from := load.Answered()
	harness.Eventually(t, "callers get answers", func() bool { return load.Answered() >= from+answersPerStep })
}

// TestGracefulStopsFailNoQuery stops and restarts each host in turn under load. No
// query may fail, and no answer may miss a shard.
func TestGracefulStopsFailNoQuery(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 7})
	load := harness.NewBalancer(t, f).StartLoad(t, loadCallers, loadPause)
	awaitAnswers(t, load)
	for _, host := range f.Hosts {
		host.Terminate(t)
		require.Equal(t, int(exitcode.OK), host.ExitCode(t), host.ID)
		require.NotContains(t, host.Log(), "DATA RACE")
		awaitAnswers(t, load)
		host.Restart(t)
		f.AwaitReady(t)
		awaitAnswers(t, load)
	}
	load.Stop()
	require.NoError(t, load.Failure())
	require.Zero(t, load.Partial(), "a graceful stop must not remove a shard from an answer")
}

// TestOperatorDrainStopsHostGracefully stops a host through the administration API.
func TestOperatorDrainStopsHostGracefully(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 2})
	drain, err := f.Hosts[0].Admin().Drain()
	require.NoError(t, err)
	require.False(t, drain.Already)
	require.Equal(t, int(exitcode.OK), f.Hosts[0].ExitCode(t))
	require.True(t, f.Hosts[1].Ready())
}
