package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// StartMeasuredDaemon is StartDaemon for tests that measure the daemon's memory: it never
// has the race detector.
func StartMeasuredDaemon(tb testing.TB, name string, env ...string) *Process {
	tb.Helper()
	return startDaemon(tb, measuredDaemon, name, env...)
}

// StartDaemon runs a daemon with the given additional environment variables until
// the test ends. Its standard output and standard error go to the process log.
func StartDaemon(tb testing.TB, name string, env ...string) *Process {
	tb.Helper()
	return startDaemon(tb, daemon, name, env...)
}

func startDaemon(tb testing.TB, program, name string, env ...string) *Process {
	tb.Helper()
	p := &Process{Name: name, log: filepath.Join(tb.TempDir(), "log"), exited: make(chan struct{})}
	logFile, err := os.Create(p.log)
	require.NoError(tb, err)
	defer func() { _ = logFile.Close() }()
	p.cmd = exec.Command(programPath(tb, program))
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = killWithParent()
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	require.NoError(tb, spawn(p.cmd))
	p.reap()
	tb.Cleanup(func() { p.cleanUp(tb) })
	return p
}
