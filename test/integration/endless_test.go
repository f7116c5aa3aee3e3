package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/targets/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

// startEndlessTarget starts a target that reports its load and answers searches without end.
func startEndlessTarget(t *testing.T) *rawserver.Server {
	t.Helper()
	load, err := target.Encode(subquery.Load{})
	require.NoError(t, err)
	again := rawserver.Repeat("a")
	server, err := rawserver.StartEndless(func(r *http.Request, _ []byte) ([]byte, bool) {
		if r.URL.Path == target.PathLoad {
			return rawserver.Framings("200 OK", "", string(load))["length"], false
		}
		return []byte("HTTP/1.1 200 OK\r\n\r\n"), true
	}, func(r *http.Request) []byte {
		if r.URL.Path == target.PathLoad {
			return nil
		}
		return again(r)
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// TestHostBoundsRepliesWithoutEndOfManyTargets replaces most targets by ones that answer without
// end. It guards against a daemon that reads all of it until it has no memory.
func TestHostBoundsRepliesWithoutEndOfManyTargets(t *testing.T) {
	const (
		queries = 10
		// memoryBytes is the memory of a host, of which replies may take a quarter.
		memoryBytes = 256 << 20
	)
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 1, ReplyBytes: memoryBytes / 4, Measured: true})
	awaitCompleteAnswer(t, f, f.Hosts[0])
	var servers []*rawserver.Server
	targets := map[string]any{}
	for i, id := range f.Shape.TargetIDs() {
		endless := startEndlessTarget(t)
		servers = append(servers, endless)
		targets["targets/"+string(id)] = model.Target{
			ID: id, Addr: endless.Addr(), Region: fixture.Region, FailureDomain: fixture.Domain(i),
			Slots: f.Shape.Slots, MaxConnections: f.Shape.MaxConnections,
		}
	}
	revision := f.Platform.Publish(t, targets)
	_, err := f.Hosts[0].Admin().WaitConfig(revision, time.Minute)
	require.NoError(t, err)
	for _, replaced := range f.Targets {
		replaced.Kill(t)
	}
	sent := func() (bytes int64) {
		for _, s := range servers {
			bytes += s.Sent()
		}
		return bytes
	}
	harness.Eventually(t, "the host asks the targets that replaced the others", func() bool {
		_, _ = f.Hosts[0].Ask(t, f.Shape.Workload, harness.Body(0))
		return sent() > 0
	})
	for n := range queries {
		_, err := f.Hosts[0].Ask(t, f.Shape.Workload, harness.Body(n))
		require.Error(t, err, "an answer without end is no answer")
	}
	require.False(t, f.Hosts[0].Exited())
	peak := f.Hosts[0].PeakResidentBytes(t)
	t.Logf("sent: %d MB; resident memory at its peak: %d MB", sent()>>20, peak>>20)
	require.Less(t, peak, int64(memoryBytes))
}
