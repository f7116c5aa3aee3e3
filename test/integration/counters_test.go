package integration

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/test/harness"
)

const countersPage = "../../docs/operations/counters.md"

// requireExplained fails for a metric of the tier that a host shows and the
// operators' page does not explain.
func requireExplained(t *testing.T, host *harness.Host) {
	t.Helper()
	page, err := os.ReadFile(countersPage)
	require.NoError(t, err)
	families := 0
	for line := range strings.Lines(host.Metrics(t)) {
		fields := strings.Fields(line)
		if len(fields) < 3 || fields[1] != "TYPE" || !strings.HasPrefix(fields[2], "swiftvane_") {
			continue
		}
		families++
		require.Contains(t, string(page), "`"+fields[2]+"`", "the page does not explain it")
	}
	require.NotZero(t, families)
}
