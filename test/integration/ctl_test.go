package integration

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/test/harness"
)

// TestCommandLineReportsExitCodesOfRealHosts runs swiftvanectl as operators and callers
// do, and checks its exit codes and output.
func TestCommandLineReportsExitCodesOfRealHosts(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.AuditArchive(), Hosts: 2})
	host, workload := f.Hosts[0], string(f.Shape.Workload)
	expect := func(code exitcode.Code, args ...string) string {
		t.Helper()
		have, stdout, stderr := host.Ctl(t, "", args...)
		require.Equal(t, int(code), have, "%v: %s%s", args, stdout, stderr)
		return stdout
	}

	for _, command := range [][]string{{"status"}, {"targets"}, {"quarantine", "list"}, {"version"}} {
		require.True(t, json.Valid([]byte(expect(exitcode.OK, command...))), command)
	}

	id, first := "", ""
	harness.Eventually(t, "witnesses vote on an id issued after they started", func() bool {
		var err error
		id, err = callerclient.NewRequestID()
		require.NoError(t, err)
		code, stdout, _ := host.Ctl(t, "", "query", workload, "--body", `{"file":1}`, "--request-id", id)
		first = stdout
		return code == int(exitcode.OK)
	})
	require.Equal(t, first, expect(exitcode.OK, "query", workload, "--body", `{"file":1}`, "--request-id", id), "a resend must return the recorded answer")
	runs := 0
	for _, tgt := range f.Targets {
		runs += tgt.Runs(t, id).Started
	}
	require.Equal(t, 1, runs, "the request must run once")
	expect(exitcode.NotRun, "query", "no-such-workload")
	expect(exitcode.NotRun, "query", workload, "--deadline", "1h")

	for _, tgt := range f.Targets {
		tgt.SetFaults(t, target.Faults{Frozen: true})
	}
	expect(exitcode.Unknown, "query", workload, "--body", `{"file":2}`, "--deadline", "300ms", "--attempts", "1")

	revision := f.Platform.Publish(t, defaultsWith(1, withFullCoverage))
	expect(exitcode.OK, "config", "wait", "--revision", strconv.FormatUint(uint64(revision), 10))
	expect(exitcode.Timeout, "config", "wait", "--revision", strconv.FormatUint(uint64(revision)+1, 10), "--timeout", "10ms")

	code, offline, _ := host.Ctl(t, fmt.Sprintf(`{"revision":%d,"keys":{"nonsense":1}}`, revision+1), "config", "check", "-")
	require.Equal(t, int(exitcode.Invalid), code)
	code, onHost, _ := host.Ctl(t, fmt.Sprintf(`{"revision":%d,"keys":{"nonsense":1}}`, revision+1), "config", "check", "-", "--ask-host")
	require.Equal(t, int(exitcode.Invalid), code)
	require.Equal(t, offline, onHost)

	expect(exitcode.Failure, "quarantine", "release", "ab")
	expect(exitcode.OK, "drain")
	require.Equal(t, int(exitcode.OK), host.ExitCode(t))
}
