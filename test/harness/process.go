package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxLogLines is how many lines at the end of a process log are printed if its test
// fails.
const maxLogLines = 60

// Process is a started program, running or exited.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  string
	// logReader is the read end of the process's output if that is a pipe, otherwise nil.
	logReader io.Closer
	// exited is closed once the process has exited.
	exited   chan struct{}
	waitOnce sync.Once
}

// start runs a built program until the test ends and returns a reader of its standard
// output. Its standard error goes to a log whose end is printed if the test fails.
func start(tb testing.TB, name, program string, args ...string) (*Process, io.Reader) {
	tb.Helper()
	p, logFile := newProcess(tb, name, program, args...)
	defer func() { _ = logFile.Close() }()
	p.cmd.Stderr = logFile
	stdout, err := p.cmd.StdoutPipe()
	require.NoError(tb, err)
	p.launch(tb)
	return p, stdout
}

// newProcess returns a process that is not started, and the file of its log.
func newProcess(tb testing.TB, name, program string, args ...string) (*Process, *os.File) {
	tb.Helper()
	p := &Process{Name: name, log: filepath.Join(tb.TempDir(), "log"), exited: make(chan struct{})}
	logFile, err := os.Create(p.log)
	require.NoError(tb, err)
	p.cmd = exec.Command(programPath(tb, program), args...)
	p.cmd.SysProcAttr = killWithParent()
	return p, logFile
}

// launch starts the process, which runs until the test ends.
func (p *Process) launch(tb testing.TB) {
	tb.Helper()
	require.NoError(tb, spawn(p.cmd))
	tb.Cleanup(func() { p.cleanUp(tb) })
}

// readReadyLine decodes the line of JSON that a stand-in prints once it is ready.
func (p *Process) readReadyLine(tb testing.TB, stdout io.Reader, into any) {
	tb.Helper()
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	require.NoError(tb, err, "%s did not become ready: %s", p.Name, p.Log())
	require.NoError(tb, json.Unmarshal(line, into))
	p.reap()
}

// reap starts to wait for the process in the background, once.
func (p *Process) reap() {
	p.waitOnce.Do(func() {
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

// SignalIfRunning sends a signal unless the process has exited.
func (p *Process) SignalIfRunning(tb testing.TB, signal syscall.Signal) {
	tb.Helper()
	if err := p.cmd.Process.Signal(signal); !errors.Is(err, os.ErrProcessDone) {
		require.NoError(tb, err, p.Name)
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill(tb testing.TB) {
	tb.Helper()
	p.Signal(tb, syscall.SIGKILL)
	<-p.exited
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause(tb testing.TB) { p.Signal(tb, syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume(tb testing.TB) { p.Signal(tb, syscall.SIGCONT) }

// Terminate starts a graceful stop with SIGTERM; it does not wait for the exit.
func (p *Process) Terminate(tb testing.TB) { p.Signal(tb, syscall.SIGTERM) }

// ExitCode waits until the process has exited and returns its exit code.
func (p *Process) ExitCode(tb testing.TB) int {
	tb.Helper()
	Eventually(tb, p.Name+" exits", p.Exited)
	return p.cmd.ProcessState.ExitCode()
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// State describes how the process exited, or returns "runs" if it is running.
func (p *Process) State() string {
	if !p.Exited() {
		return "runs"
	}
	return p.cmd.ProcessState.String()
}

// Log returns the process log, or the error text if it cannot be read.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// cleanUp kills the process and prints the end of its log if the test failed.
func (p *Process) cleanUp(tb testing.TB) {
	p.reap()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	if !tb.Failed() {
		return
	}
	if tail := lastLines(p.Log(), maxLogLines); tail != "" {
		tb.Logf("last lines of %s:\n%s", p.Name, tail)
	}
}

func lastLines(text string, count int) string {
	lines := bytes.Split(bytes.TrimSpace([]byte(text)), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-count):], []byte("\n")))
}

// PeakResidentBytes returns the largest resident set of the running process so far.
func (p *Process) PeakResidentBytes(tb testing.TB) int64 {
	tb.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(tb, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			require.NoError(tb, err)
			return kilobytes << 10
		}
	}
	tb.Fatal("the kernel states no peak of the resident set")
	return 0
}
