package harness

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Ctl runs swiftvanectl against the host with the write token and returns its exit
// code and output.
func (h *Host) Ctl(tb testing.TB, stdin string, args ...string) (code int, stdout, stderr string) {
	tb.Helper()
	token := filepath.Join(tb.TempDir(), "token")
	require.NoError(tb, os.WriteFile(token, []byte(writeToken), 0o600))
	ctx, cancel := context.WithTimeout(tb.Context(), ConditionTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, programPath(tb, "swiftvanectl"), args...)
	cmd.Env = append(os.Environ(),
		"SWIFTVANE_ADMIN=http://"+h.admin, "SWIFTVANE_CALLER_URL="+h.URL(),
		"SWIFTVANE_TOKEN_FILE="+token, "SWIFTVANE_OUTPUT=json")
	var out, errs bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errs
	err := cmd.Run()
	if _, exited := errors.AsType[*exec.ExitError](err); !exited {
		require.NoError(tb, err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}
