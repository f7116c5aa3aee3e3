package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestLogWithoutReaderCostsNoQuery guards against a process that a signal ends once the reader of its log
// has gone.
func TestLogWithoutReaderCostsNoQuery(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 1})
	host := f.Hosts[0]
	host.Kill(t)
	host.RestartPiped(t)
	f.AwaitReady(t)
	awaitCompleteAnswer(t, f, host)
	host.CloseLog(t)
	target := f.Target(t, f.Shape.Target(0, 0))
	target.Kill(t) // the host logs that it is lost
	for range 3 {
		awaitCompleteAnswer(t, f, host)
	}
	require.False(t, host.Exited(), host.Process.State())
	host.Terminate(t)
	require.Zero(t, host.ExitCode(t))
}
