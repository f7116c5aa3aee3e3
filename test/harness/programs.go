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

// programs holds the built programs of this test binary.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// Main runs a test binary's tests and removes the built programs. A TestMain
// calls it.
func Main(m *testing.M) {
	code := m.Run()
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
	os.Exit(code)
}

// built returns the path of a built program. All programs are built once per
// test binary.
func built(tb testing.TB, name string) string {
	tb.Helper()
	programs.once.Do(build)
	if programs.err != nil {
		tb.Fatal(programs.err)
	}
	return filepath.Join(programs.dir, name)
}

// build builds the daemon with the race detector if the test has it, and the
// rest without.
func build() {
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
