package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// TestRequestsOfRoutesWithHomeRegionsStayInThem has targets in two regions. Those of the
// home region fail now and then, so that there are retries. A route that loses its home
// regions uses both again.
func TestRequestsOfRoutesWithHomeRegionsStayInThem(t *testing.T) {
	failing := func(_, id string) searcher.Fault {
		if id[len(id)-1]%4 == 0 {
			return searcher.FailRun
		}
		return searcher.None
	}
	regions := map[string]string{"z-1": "north", "z-2": "south", "z-3": "south"}
	c := start(t, options{hosts: 2, work: time.Millisecond, domain: twoDomains, regions: regions, fault: failing})
	config := c.Config()
	for _, r := range config.Routes {
		r.AllowedRegions = []string{"south"}
	}
	c.publish(config)
	ask := func(name string) {
		for n, h := range c.hosts {
			require.Eventually(t, func() bool { return h.edge.View().Config.Version == config.Version }, waitLimit, 5*time.Millisecond)
			caller := h.caller()
			for i := range 30 {
				for _, path := range []string{"/sweep/x", "/read/x", "/order/x"} {
					_, err := caller.ask("GET", path, fmt.Sprint(name, n, path, i), nil)
					require.NoError(t, err)
				}
			}
		}
	}
	ask("south")
	require.Zero(t, c.ArrivalsIn("z-1"))
	require.Positive(t, c.ArrivalsIn("z-2"))

	config = c.Config()
	for _, r := range config.Routes {
		r.AllowedRegions = []string{"east"}
	}
	c.publish(config)
	before := c.ArrivalsIn("z-2") + c.ArrivalsIn("z-3")
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return h.edge.View().Config.Version == config.Version }, waitLimit, 5*time.Millisecond)
		r, err := h.caller().ask("GET", "/sweep/x", "refused", nil)
		require.NoError(t, err)
		require.Equal(t, 503, r.status)
		require.Equal(t, "0.300", r.header.Get("Retry-After"))
	}
	require.Equal(t, before, c.ArrivalsIn("z-2")+c.ArrivalsIn("z-3"))
	require.Zero(t, c.ArrivalsIn("z-1"))

	config = c.Config()
	c.publish(config)
	ask("all")
	require.Positive(t, c.ArrivalsIn("z-1"))
}
