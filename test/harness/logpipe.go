package harness

import (
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// StartPipedDaemon is StartMeasuredDaemon with a pipe as the daemon's output. What it writes goes to the
// process log until CloseLog.
func StartPipedDaemon(tb testing.TB, name string, env ...string) *Process {
	tb.Helper()
	p, logFile := newProcess(tb, name, measuredDaemon)
	p.cmd.Env = append(os.Environ(), env...)
	p.launchPiped(tb, logFile)
	return p
}

// launchPiped starts the process with a pipe as its output.
func (p *Process) launchPiped(tb testing.TB, logFile *os.File) {
	tb.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(tb, err)
	p.logReader = reader
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	p.launch(tb)
	_ = writer.Close()
	go func() {
		defer func() { _ = logFile.Close() }()
		_, _ = io.Copy(logFile, reader)
	}()
	p.reap()
}

// CloseLog closes the pipe of a process that was started with one: what it writes from now on fails.
func (p *Process) CloseLog(tb testing.TB) {
	tb.Helper()
	require.NoError(tb, p.logReader.Close())
}
