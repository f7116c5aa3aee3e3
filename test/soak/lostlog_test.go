package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestLogWithoutReaderCostsNoRequest guards against a process that a signal ends once the reader of its
// log has gone.
func TestLogWithoutReaderCostsNoRequest(t *testing.T) {
	e := newEnvironment(t, 1)
	e.piped = true
	e.startPlatform(deployment.Options{Attempts: 3, Work: work, Timeout: timeout}, singles)
	e.addHosts(readers)
	harness.Eventually(t, "all hosts are ready", e.allReady)
	e.awaitRecovery("start")
	for _, h := range e.hosts {
		harness.Eventually(t, "the start is logged", h.hasLoggedStart)
		h.process.CloseLog(t)
	}
	stop := e.startCallers()
	end := time.Now().Add(extremeLasts)
	for client := newClient(); time.Now().Before(end); time.Sleep(extremePause) {
		// A request that is refused is logged.
		refused := e.askPath(client, e.anyHost(), "/unknown/x", "unknown")
		require.NoError(t, refused.err)
		require.Equal(t, http.StatusNotFound, refused.status)
	}
	stop()
	require.Empty(t, e.failures())
	for _, h := range e.hosts {
		h.terminate()
	}
}
