package harness

import (
	"os"
	"testing"
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
	p, logFile := newProcess(tb, name, program)
	defer func() { _ = logFile.Close() }()
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	p.launch(tb)
	p.reap()
	return p
}
