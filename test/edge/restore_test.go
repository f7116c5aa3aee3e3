package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

// TestRestoreOfStoreLosesNoCallerAndNoVersion brings the store back from a copy that
// lacks a configuration and a target, and gives the lost revisions out again. Hosts
// stay on the newest configuration, see the writes under the revisions that they had
// seen before, and follow what is written afterwards.
func TestRestoreOfStoreLosesNoCallerAndNoVersion(t *testing.T) {
	c := start(t, options{hosts: 2})
	copied := c.Store.Revision()
	lost := c.Config()
	lost.Routes[1].Prefix = "/records/"
	c.publish(lost)
	late, err := c.AddSearcher(deployment.Single, "late", "127.0.0.1:0")
	require.NoError(t, err)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool {
			v := h.edge.View()
			return v.Config.Version == 2 && len(v.ByService[deployment.Single]) == 4
		}, waitLimit, 5*time.Millisecond)
	}

	c.Store.Restore(copied)
	for i := range 6 {
		// The revisions of the lost writes are given out to other entries.
		require.NoError(t, c.WriteEntry("other", fmt.Sprint("other-", i), "127.0.0.1:9", false))
	}
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return len(h.edge.View().ByService["other"]) == 6 }, waitLimit, 5*time.Millisecond)
		require.EqualValues(t, 2, h.edge.View().Config.Version, "the configuration in force never goes back")
		require.EqualValues(t, 2, h.edge.View().Position.Era)
		answer, err := h.caller().ask("GET", "/records/x", "after-restore-"+h.addr, nil)
		require.NoError(t, err)
		require.Equal(t, 200, answer.status)
	}
	require.NoError(t, c.WriteEntry(deployment.Single, "late", late.Addr(), false))
	newest := c.Config()
	newest.Routes[1].Prefix = "/files/"
	c.publish(newest)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool {
			v := h.edge.View()
			return v.Config.Version == 3 && len(v.ByService[deployment.Single]) == 4
		}, waitLimit, 5*time.Millisecond)
	}
}
