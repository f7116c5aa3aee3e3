package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// StartDaemon runs a daemon with the given additional environment until the test
// ends. Both its outputs go to the process's log.
func StartDaemon(tb testing.TB, name string, env ...string) *Process {
	tb.Helper()
	p := &Process{Name: name, log: filepath.Join(tb.TempDir(), "log"), exited: make(chan struct{})}
	logFile, err := os.Create(p.log)
	require.NoError(tb, err)
	defer func() { _ = logFile.Close() }()
	p.cmd = exec.Command(built(tb, "swiftvaned"))
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = lifetime()
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	require.NoError(tb, spawn(p.cmd))
	p.watch()
	tb.Cleanup(func() { p.cleanUp(tb) })
	return p
}
