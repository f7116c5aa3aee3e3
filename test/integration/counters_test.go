package integration

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/test/harness"
)

const countersPage = "../../docs/operations/counters.md"

// requireMetricsDocumented fails the test if the host exports a metric of the tier
// that the operators' page does not document.
func requireMetricsDocumented(t *testing.T, host *harness.Host) {
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
		require.Contains(t, string(page), "`"+fields[2]+"`", "metric is not documented on the page")
	}
	require.NotZero(t, families)
}
