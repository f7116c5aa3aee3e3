package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

// landedDaemon is the daemon of the last landed commit.
const landedDaemon = "swiftvaned-landed"

// landed builds the daemon of the last landed commit once for all tests of a binary.
var landed struct {
	once sync.Once
	err  error
}

// errNoHistory is returned where the sources are no checkout that has the landed commit.
var errNoHistory = errors.New("the repository's history lacks the commit in production")

// BuildLandedDaemon builds the daemon of the commit that the deploy file names as the one in
// production. Without the repository's history it skips the test.
func BuildLandedDaemon(tb testing.TB) {
	tb.Helper()
	programPath(tb, landedDaemon) // creates the directory of the programs
	landed.once.Do(func() { landed.err = buildLanded() })
	if errors.Is(landed.err, errNoHistory) {
		tb.Skip(landed.err)
	}
	require.NoError(tb, landed.err)
}

// StartLandedDaemon is StartDaemon with the build of BuildLandedDaemon.
func StartLandedDaemon(tb testing.TB, name string, env ...string) *Process {
	tb.Helper()
	return startDaemon(tb, landedDaemon, name, env...)
}

func buildLanded() error {
	root, err := output("git", "rev-parse", "--show-toplevel")
	if err != nil {
		return fmt.Errorf("%w: %w", errNoHistory, err)
	}
	commit, err := landedCommit(root)
	if err != nil {
		return err
	}
	if _, err := output("git", "-C", root, "cat-file", "-e", commit+"^{commit}"); err != nil {
		return fmt.Errorf("%w: %w", errNoHistory, err)
	}
	sources, err := os.MkdirTemp(programs.dir, "landed-")
	if err != nil {
		return err
	}
	archive := filepath.Join(sources, "sources.tar")
	if _, err := output("git", "-C", root, "archive", "-o", archive, commit); err != nil {
		return err
	}
	if _, err := output("tar", "-x", "-f", archive, "-C", sources); err != nil {
		return err
	}
	_, err = output("go", "build", "-C", sources, "-o", filepath.Join(programs.dir, landedDaemon), "./cmd/swiftvaned")
	return err
}

// landedCommit returns the commit that the deploy file names as the one in production.
func landedCommit(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	var deploy struct {
		Production string `toml:"production"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return "", err
	}
	return deploy.Production, nil
}

// output runs a command and returns what it printed.
func output(name string, args ...string) (string, error) {
	out, err := exec.Command(name, args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s %v: %w\n%s", name, args, err, out)
	}
	return strings.TrimSpace(string(out)), nil
}
