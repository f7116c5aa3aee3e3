package integration

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerapi"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// stopDrainMS and longDeadlineMS make a stopping host end before the deadlines.
	stopDrainMS    = 2000
	longDeadlineMS = 9000
)

// startStopFleet starts two hosts and waits until the first one serves queries that must
// not be repeated.
func startStopFleet(t *testing.T) *harness.Fleet {
	t.Helper()
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 2, DrainMS: stopDrainMS})
	harness.Eventually(t, "the host can claim request ids", func() bool {
		_, err := f.Hosts[0].Ask(t, f.Shape.Workload, harness.Body(0))
		return err == nil
	})
	return f
}

// started returns how many runs the targets have started.
func started(t *testing.T, f *harness.Fleet) int {
	t.Helper()
	return lo.SumBy(f.Targets, func(target *harness.Target) int { return target.Runs(t, "*").Started })
}

// TestStoppingHostRefusesQueriesThatItCannotFinish guards against queries that a stopping
// host takes in its lame-duck time although their deadlines lie after its end.
func TestStoppingHostRefusesQueriesThatItCannotFinish(t *testing.T) {
	f := startStopFleet(t)
	host := f.Hosts[0]
	before := started(t, f)
	host.Terminate(t)
	harness.Eventually(t, "the host isn't ready", func() bool { return !host.Ready() })
	body, err := json.Marshal(callerapi.Query{
		Workload: f.Shape.Workload, Body: harness.Body(1), DeadlineMS: lo.ToPtr[int64](longDeadlineMS),
	})
	require.NoError(t, err)
	resp, err := http.Post(host.URL()+callerapi.PathQuery, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var refusal callerapi.Error
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&refusal))
	require.Equal(t, verdict.HostStopping, refusal.Reason)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfterMS)
	require.Equal(t, before, started(t, f), "no target gets the query")
}
