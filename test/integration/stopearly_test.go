package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerapi"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// stopLameDuckMS and stopDrainMS make a stopping host end before longDeadlineMS, with
	// seconds to spare for a machine that is busy.
	stopLameDuckMS = 3000
	stopDrainMS    = 2000
	longDeadlineMS = 9000
	// slowRun is longer than the deadlines.
	slowRun     = 30 * time.Second
	slowQueries = 12
)

// startStopFleet starts two hosts and waits until the first one serves queries that must
// not be repeated. A drainMS of 0 selects the default drain limit.
func startStopFleet(t *testing.T, drainMS int) *harness.Fleet {
	t.Helper()
	f := harness.Start(t, harness.Options{
		Shape: fixture.AuditArchive(), Hosts: 2, LameDuckMS: stopLameDuckMS, DrainMS: drainMS,
	})
	harness.Eventually(t, "the host can claim request ids", func() bool {
		_, err := f.Hosts[0].Ask(t, f.Shape.Workload, harness.Body(0))
		return err == nil
	})
	return f
}

// started returns how many runs the targets have started.
func started(t *testing.T, f *harness.Fleet) int {
	t.Helper()
	return lo.SumBy(f.Targets, func(of *harness.Target) int { return of.Runs(t, "*").Started })
}

// TestStoppingHostRefusesQueriesThatItCannotFinish guards against queries that a stopping
// host takes in its lame-duck time although their deadlines lie after its end.
func TestStoppingHostRefusesQueriesThatItCannotFinish(t *testing.T) {
	f := startStopFleet(t, stopDrainMS)
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

// askSlowly makes the targets take longer than any deadline, sends queries to the first
// host and waits until targets run some of them.
func askSlowly(t *testing.T, f *harness.Fleet) <-chan error {
	t.Helper()
	for _, slow := range f.Targets {
		slow.SetFaults(t, target.Faults{LatencyMedianUS: int(slowRun.Microseconds())})
	}
	before := started(t, f)
	client := &callerclient.Client{URLs: []string{f.Hosts[0].URL()}, Caller: "slow", HTTP: f.HTTP}
	failures := make(chan error, slowQueries)
	for n := range slowQueries {
		go func() {
			_, err := client.Ask(t.Context(), callerapi.Query{
				Workload: f.Shape.Workload, Body: harness.Body(n), DeadlineMS: lo.ToPtr[int64](longDeadlineMS),
			})
			failures <- err
		}()
	}
	harness.Eventually(t, "targets run queries", func() bool { return started(t, f) >= before+slowQueries/2 })
	return failures
}

// TestStopAnswersQueriesInFlightAtDrainLimit guards against queries that end without an
// answer, or with an accidental one, when the drain limit passes.
func TestStopAnswersQueriesInFlightAtDrainLimit(t *testing.T) {
	f := startStopFleet(t, stopDrainMS)
	failures := askSlowly(t, f)
	f.Hosts[0].Terminate(t)
	for range slowQueries {
		failure, ok := errors.AsType[*verdict.Error](<-failures)
		require.True(t, ok)
		require.Equal(t, verdict.HostStopping, failure.Reason, failure.Message)
		require.Equal(t, verdict.Unknown, failure.Verdict)
	}
	require.Equal(t, int(exitcode.Forced), f.Hosts[0].ExitCode(t))
}

// TestStopAnswersOtherHostsSubrequests guards against reasons that keep the asking host
// from trying another replica, and against exit code 0 of a host that cut sub-requests.
func TestStopAnswersOtherHostsSubrequests(t *testing.T) {
	f := startStopFleet(t, stopDrainMS)
	failures := askSlowly(t, f)
	f.Hosts[1].Terminate(t)
	reasons := map[verdict.Reason]int{}
	for range slowQueries {
		failure, ok := errors.AsType[*verdict.Error](<-failures)
		require.True(t, ok)
		reasons[failure.Reason]++
	}
	require.Positive(t, reasons[verdict.HostStopping], reasons)
	require.Zero(t, reasons[verdict.Cancelled]+reasons[verdict.PeerLinkLost], reasons)
	require.Equal(t, int(exitcode.Forced), f.Hosts[1].ExitCode(t))
}

// TestSecondSignalEndsStopAtOnce guards against a stop that a second signal doesn't end. The
// default drain limit is longer than the queries, so that a stop of its own ends with 0.
func TestSecondSignalEndsStopAtOnce(t *testing.T) {
	f := startStopFleet(t, 0)
	askSlowly(t, f)
	host := f.Hosts[0]
	host.Terminate(t)
	harness.Eventually(t, "the host isn't ready", func() bool { return !host.Ready() })
	host.Terminate(t)
	require.Equal(t, int(exitcode.Forced), host.ExitCode(t))
}
