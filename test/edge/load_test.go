package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

// TestTargetThatReportsLongQueueGetsFewRequests covers a target that is full of other
// hosts' requests: its answers come as fast as those of the others, only its reports tell.
func TestTargetThatReportsLongQueueGetsFewRequests(t *testing.T) {
	const requests = 90
	c := start(t, options{work: time.Millisecond})
	singles := c.Searchers[deployment.Single]
	for i, s := range singles {
		others := 0
		if i == 0 {
			others = 1000
		}
		s.ReportLoad(others, 100)
	}
	caller := c.hosts[0].caller()
	for i := range requests {
		r, err := caller.ask("GET", "/read/x", fmt.Sprint("load-", i), nil)
		require.NoError(t, err)
		require.Equal(t, 200, r.status)
	}
	require.Less(t, len(singles[0].Arrivals()), requests/6, "an even share is a third")
}
