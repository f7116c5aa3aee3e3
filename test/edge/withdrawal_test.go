package edge_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

// TestTargetsThatAnswerTheyLeaveGetNoMoreRequests covers targets, one of each shard, that
// are still ready in the store: only their answers say that they are leaving.
func TestTargetsThatAnswerTheyLeaveGetNoMoreRequests(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	for i := range shards {
		c.Searchers[shardName(i)][0].Leave()
	}
	caller := c.hosts[0].caller()
	for i := range 40 {
		id := fmt.Sprint("leave-", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Zero(t, requireValidSweep(t, id, r))
	}
	for i := range shards {
		require.LessOrEqual(t, len(c.Searchers[shardName(i)][0].Arrivals()), 1)
	}
}

// TestPausedTargetsGetNothingAndCallersAreToldWhenTheyReturn lets all targets of a
// service ask for a pause that outlasts the test.
func TestPausedTargetsGetNothingAndCallersAreToldWhenTheyReturn(t *testing.T) {
	const pause = 10 * time.Minute
	c := start(t, options{work: time.Millisecond})
	for _, s := range c.Searchers[deployment.Single] {
		s.RefuseFor(pause)
	}
	caller := c.hosts[0].caller()
	for i := range 30 {
		r, err := caller.ask("GET", "/read/x", fmt.Sprint("pause-", i), nil)
		require.NoError(t, err)
		require.Equal(t, 503, r.status)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 60.0, "request %d: the pause is known", i)
	}
	for _, s := range c.Searchers[deployment.Single] {
		require.LessOrEqual(t, len(s.Arrivals()), 1)
	}
}
