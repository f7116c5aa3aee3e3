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
	programs.err = goBuild(daemonFlags, "swiftvaned")
	if programs.err == nil {
		programs.err = goBuild(nil, "standin", "swiftvanectl")
	}
}

func goBuild(flags []string, names ...string) error {
	args := append([]string{"build", "-o", programs.dir + string(filepath.Separator)}, flags...)
	for _, name := range names {
		args = append(args, modulePath+"/cmd/"+name)
	}
	output, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go %v: %w\n%s", args, err, output)
	}
	return nil
}
