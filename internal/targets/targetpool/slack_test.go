package targetpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
)

// TestHostsThatAllRestartKeepToTheSlack lets each host use all it may until it
// restarts and again after that, all within one window.
func TestHostsThatAllRestartKeepToTheSlack(t *testing.T) {
	limit := extrabudget.Limit{Slack: 158, Window: 10 * time.Second}
	for _, hosts := range []int{1, 7, 59, 91} {
		for _, restart := range []time.Duration{0, time.Second, 9 * time.Second} {
			used := 0.0
			for range hosts {
				used += slackOf(limit, hosts, time.Hour)
				used += slackOf(limit, hosts, limit.Window-restart-1)
			}
			require.LessOrEqual(t, used, limit.Slack*(1+1e-9), "%d hosts", hosts)
		}
	}
	require.Zero(t, slackOf(limit, 0, time.Hour), "the size is not known")
}
