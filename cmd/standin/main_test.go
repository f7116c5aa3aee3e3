package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/platform"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// runMainEnv is the environment variable that makes the test binary run main.
const runMainEnv = "SWIFTVANE_TEST_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// start runs the command and decodes the line that it prints once it is ready.
func start(t *testing.T, ready any, args ...string) *exec.Cmd {
	t.Helper()
	cmd := command(args...)
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(line, ready))
	return cmd
}

func command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	return cmd
}

func TestCrashOfOnlyTargetEndsTheProcess(t *testing.T) {
	var ready targetsReady
	cmd := start(t, &ready, "targets", "--count", "1", "--faults", `{"crash_body":"boom"}`)
	require.Len(t, ready.Targets, 1)
	conn, err := target.NewHTTPDialer().Dial(t.Context(), &model.Target{Addr: ready.Targets[0].Addr}, 10*time.Second)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	answer := conn.Search(t.Context(), []target.Exchange{{ID: 1, Request: &subquery.Request{
		RequestID: "r", Snapshot: 1, Body: []byte(`"boom"`), Deadline: time.Now().Add(time.Minute),
	}}})[0]
	require.Equal(t, verdict.Unknown, answer.Verdict)
	var exit *exec.ExitError
	require.ErrorAs(t, cmd.Wait(), &exit)
	require.Equal(t, exitCrashed, exit.ExitCode())
}

func TestPlatformServesFixtureUntilSIGTERM(t *testing.T) {
	var ready platformReady
	cmd := start(t, &ready, "platform", "--fixture", "audit-archive", "--host-addr", "127.0.0.1:9",
		"--target-addr", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4")
	client := platform.NewHTTPClient(ready.Addr)
	// A zero revision and wait read the current value without a watch.
	doc, err := client.Document(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Contains(t, doc.Keys, "workloads/audit-archive")
	hosts, err := client.HostList(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", hosts.Hosts[0].PeerAddr)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

func TestErrorNamesInvalidOrMissingFlag(t *testing.T) {
	for want, args := range map[string][]string{
		"--fixture":     {"targets", "--fixture", "odd"},
		"--first":       {"targets", "--first", "40"},
		"--count":       {"targets", "--count", "41"},
		"--addr":        {"targets", "--count", "2", "--addr", "127.0.0.1:4000"},
		"--faults":      {"targets", "--faults", "{"},
		"--target-addr": {"platform", "--fixture", "audit-archive"},
		"document":      {"platform"},
	} {
		t.Run(want, func(t *testing.T) {
			var stderr bytes.Buffer
			cmd := command(args...)
			cmd.Stderr = &stderr
			require.Error(t, cmd.Run())
			require.Contains(t, stderr.String(), want)
		})
	}
}
