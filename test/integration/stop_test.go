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
	// answersBetween is how many whole answers a test waits for before it goes on.
	answersBetween = 30
)

// awaitAnswers waits until the load got some more whole answers.
func awaitAnswers(t *testing.T, load *harness.Load) {
	t.Helper()
	from := load.Answered()
	harness.Eventually(t, "callers get answers", func() bool { return load.Answered() >= from+answersBetween })
}

// TestPlannedStopsCutNoRequest stops each of the hosts in turn while callers ask,
// starts it again, and expects that no query failed.
func TestPlannedStopsCutNoRequest(t *testing.T) {
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
	require.Zero(t, load.Partial(), "a planned stop takes no shard from an answer")
}

// TestDrainByOperatorIsAPlannedStop begins the stop through the administration
// API.
func TestDrainByOperatorIsAPlannedStop(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 2})
	drain, err := f.Hosts[0].Admin().Drain()
	require.NoError(t, err)
	require.False(t, drain.Already)
	require.Equal(t, int(exitcode.OK), f.Hosts[0].ExitCode(t))
	require.True(t, f.Hosts[1].Ready())
}
