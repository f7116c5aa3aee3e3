package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

const modulePath = "github.com/swiftvane/swiftvane"

// programs holds the built programs, shared by all tests of a binary.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// Main runs the tests, removes the built programs and exits. TestMain functions call
// it.
func Main(m *testing.M) {
	code := m.Run()
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
	os.Exit(code)
}

// programPath returns the path of a built program. The first call in a test binary
// builds all programs.
func programPath(tb testing.TB, name string) string {
	tb.Helper()
	programs.once.Do(buildPrograms)
	if programs.err != nil {
		tb.Fatal(programs.err)
	}
	return filepath.Join(programs.dir, name)
}

// daemon is the daemon, with the race detector if the tests have it.
const daemon = "swiftvaned"

// measuredDaemon is the daemon built without the race detector, whose own memory is
// several times that of the program.
const measuredDaemon = "swiftvaned-measured"

// buildPrograms builds the daemon with the race detector if the test binary has it,
// and the other programs without.
func buildPrograms() {
	programs.dir, programs.err = os.MkdirTemp("", "swiftvane-programs-")
	if programs.err != nil {
		return
	}
	daemonFlags := []string{}
	if raceEnabled {
		daemonFlags = append(daemonFlags, "-race")
	}
	programs.err = goBuild(daemonFlags, daemon)
	if programs.err == nil {
		programs.err = goBuild(nil, "standin", "swiftvanectl")
	}
	if programs.err == nil {
		programs.err = goBuildAs(measuredDaemon, nil, daemon)
	}
}

func goBuild(flags []string, names ...string) error {
	return goBuildAs(string(filepath.Separator), flags, names...)
}

// goBuildAs builds programs to a path below that of the built programs.
func goBuildAs(path string, flags []string, names ...string) error {
	output := programs.dir + string(filepath.Separator) + path
	args := append([]string{"build", "-o", output}, flags...)
	for _, name := range names {
		args = append(args, modulePath+"/cmd/"+name)
	}
	messages, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go %v: %w\n%s", args, err, messages)
	}
	return nil
}
