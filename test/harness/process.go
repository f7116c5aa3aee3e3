package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// shownLines of a process's log are printed if its test fails.
const shownLines = 60

// Process is a running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  string
	// exited is closed once the process has ended.
	exited chan struct{}
	once   sync.Once
}

// start runs a built program until the test ends. It returns what the program
// writes to standard output; its standard error goes to a log that a failed test
// prints.
func start(tb testing.TB, name, program string, args ...string) (*Process, io.Reader) {
	tb.Helper()
	p := &Process{Name: name, log: filepath.Join(tb.TempDir(), "log"), exited: make(chan struct{})}
	logFile, err := os.Create(p.log)
	require.NoError(tb, err)
	defer func() { _ = logFile.Close() }()
	p.cmd = exec.Command(built(tb, program), args...)
	p.cmd.SysProcAttr = lifetime()
	p.cmd.Stderr = logFile
	stdout, err := p.cmd.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, spawn(p.cmd))
	tb.Cleanup(func() { p.cleanUp(tb) })
	return p, stdout
}

// readLine decodes the one line of JSON that a stand-in prints once it is ready.
func (p *Process) readLine(tb testing.TB, stdout io.Reader, into any) {
	tb.Helper()
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	require.NoError(tb, err, "%s did not become ready: %s", p.Name, p.Log())
	require.NoError(tb, json.Unmarshal(line, into))
	p.watch()
}

// watch collects the process's end.
func (p *Process) watch() {
	p.once.Do(func() {
		go func() {
			_ = p.cmd.Wait()
			close(p.exited)
		}()
	})
}

// Signal sends a signal to the process.
func (p *Process) Signal(tb testing.TB, signal syscall.Signal) {
	tb.Helper()
	require.NoError(tb, p.cmd.Process.Signal(signal), p.Name)
}

// SignalIfRunning sends a signal unless the process has ended.
func (p *Process) SignalIfRunning(tb testing.TB, signal syscall.Signal) {
	tb.Helper()
	if err := p.cmd.Process.Signal(signal); !errors.Is(err, os.ErrProcessDone) {
		require.NoError(tb, err, p.Name)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill(tb testing.TB) {
	tb.Helper()
	p.Signal(tb, syscall.SIGKILL)
	<-p.exited
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause(tb testing.TB) { p.Signal(tb, syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume(tb testing.TB) { p.Signal(tb, syscall.SIGCONT) }

// Terminate begins a planned stop with SIGTERM.
func (p *Process) Terminate(tb testing.TB) { p.Signal(tb, syscall.SIGTERM) }

// ExitCode waits for the process's end and returns its exit code.
func (p *Process) ExitCode(tb testing.TB) int {
	tb.Helper()
	Eventually(tb, p.Name+" ends", p.Exited)
	return p.cmd.ProcessState.ExitCode()
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// State says how the process ended, or that it runs.
func (p *Process) State() string {
	if !p.Exited() {
		return "runs"
	}
	return p.cmd.ProcessState.String()
}

// Log returns what the process wrote to standard error.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// cleanUp ends the process and prints the end of its log if the test failed.
func (p *Process) cleanUp(tb testing.TB) {
	p.watch()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	if !tb.Failed() {
		return
	}
	if tail := lastLines(p.Log(), shownLines); tail != "" {
		tb.Logf("last lines of %s:\n%s", p.Name, tail)
	}
}

func lastLines(text string, count int) string {
	lines := bytes.Split(bytes.TrimSpace([]byte(text)), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-count):], []byte("\n")))
}
