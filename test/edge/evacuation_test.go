package edge_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/standin/clock"
	"github.com/swiftvane/swiftvane/internal/standin/store"
	"github.com/swiftvane/swiftvane/internal/wiring/edge"
)

// twoDomains puts the searchers with even numbers into z-1 and the others into z-2.
// Those of the first shard are both in z-3.
func twoDomains(id string) string {
	switch {
	case strings.HasPrefix(id, shardName(0)+"-"):
		return "z-3"
	case (id[len(id)-1]-'0')%2 == 0:
		return "z-1"
	default:
		return "z-2"
	}
}

// requireEvacuated waits until all hosts know just these evacuations.
func (c *cluster) requireEvacuated(domains ...string) {
	c.t.Helper()
	for _, h := range c.hosts {
		require.Eventually(c.t, func() bool {
			known := lo.Keys(h.edge.View().Evacuations)
			slices.Sort(known)
			return slices.Equal(domains, known)
		}, waitLimit, 5*time.Millisecond)
	}
}

// requireServedWithout sends requests to all hosts, which answer them with the given
// number of missing shards and send nothing to the failure domain.
func (c *cluster) requireServedWithout(domain, name string, missing int) {
	c.t.Helper()
	before := c.ArrivalsIn(domain)
	for n, h := range c.hosts {
		caller := h.caller()
		for i := range 15 {
			id := fmt.Sprint(name, "-", n, "-", i)
			r, err := caller.ask("GET", "/sweep/x", id, nil)
			require.NoError(c.t, err)
			require.Equal(c.t, missing, requireValidSweep(c.t, id, r))
			r, err = caller.ask("GET", "/read/x", id+"r", nil)
			require.NoError(c.t, err)
			require.Equal(c.t, 200, r.status)
		}
	}
	require.Equal(c.t, before, c.ArrivalsIn(domain), "requests reached %s", domain)
}

// requireUsedAgain waits until requests reach the failure domain.
func (c *cluster) requireUsedAgain(domain string) {
	c.t.Helper()
	before, n := c.ArrivalsIn(domain), 0
	require.Eventually(c.t, func() bool {
		n++
		_, err := c.hosts[0].caller().ask("GET", "/sweep/x", fmt.Sprint("again-", n), nil)
		return err == nil && c.ArrivalsIn(domain) > before
	}, waitLimit, 5*time.Millisecond)
}

// fetch returns what the host's metrics address serves at a path.
func (h *host) fetch(t *testing.T, path string) []byte {
	t.Helper()
	resp, err := http.Get("http://" + h.metrics + path)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return body
}

func (h *host) evacuations(t *testing.T) []adminapi.Evacuation {
	t.Helper()
	var list []adminapi.Evacuation
	require.NoError(t, json.Unmarshal(h.fetch(t, adminapi.PathEvacuations), &list))
	return list
}

// TestEvacuatedDomainGetsNothingUntilTakenBack covers hosts that run when the evacuation
// is requested and one that starts during it, and what operators see.
func TestEvacuatedDomainGetsNothingUntilTakenBack(t *testing.T) {
	c := start(t, options{hosts: 2, domain: twoDomains})
	c.requireServedWithout("none", "before", 0)
	revision := c.Evacuate("z-1")
	c.requireEvacuated("z-1")
	c.addHost(2)
	c.requireEvacuated("z-1")
	c.requireServedWithout("z-1", "during", 0)
	list := c.hosts[2].evacuations(t)
	require.Len(t, list, 1)
	require.Equal(t, adminapi.Evacuation{Domain: "z-1", Revision: revision, Since: list[0].Since, Targets: shards - 1 + 2}, list[0])
	require.WithinDuration(t, time.Now(), list[0].Since, time.Minute)
	for _, line := range []string{"evacuation of a failure domain was requested", "evacuation of a failure domain is in effect"} {
		require.Eventually(t, func() bool { return strings.Contains(c.hosts[0].log.String(), line) }, waitLimit, 5*time.Millisecond, line)
	}
	for _, metric := range []string{"swiftvane_evacuated_domains 1", "swiftvane_evacuated_targets 9", "swiftvane_evacuated_in_flight 0", "swiftvane_evacuations_seen 1"} {
		require.Eventually(t, func() bool { return strings.Contains(string(c.hosts[0].fetch(t, edge.MetricsPath)), metric) }, waitLimit, 50*time.Millisecond, metric)
	}
	c.TakeBack("z-1")
	c.requireEvacuated()
	c.requireUsedAgain("z-1")
	require.Contains(t, c.hosts[0].log.String(), "evacuation of a failure domain was withdrawn")
	require.Empty(t, c.hosts[0].evacuations(t))
}

// TestShardWithOnlyEvacuatedTargetsIsReportedMissing evacuates all targets of one shard,
// and then of all others and of the single requests.
func TestShardWithOnlyEvacuatedTargetsIsReportedMissing(t *testing.T) {
	c := start(t, options{domain: twoDomains})
	c.Evacuate("z-3")
	c.requireEvacuated("z-3")
	c.requireServedWithout("z-3", "partial", 1)
	c.Evacuate("z-1")
	c.Evacuate("z-2")
	c.requireEvacuated("z-1", "z-2", "z-3")
	before := c.ArrivalsIn("z-1") + c.ArrivalsIn("z-2")
	for i, path := range []string{"/sweep/x", "/read/x", "/order/x"} {
		r, err := c.hosts[0].caller().ask("GET", path, fmt.Sprint("refused-", i), nil)
		require.NoError(t, err)
		require.Equal(t, 503, r.status)
		require.Equal(t, "0.300", r.header.Get("Retry-After"))
	}
	require.Equal(t, before, c.ArrivalsIn("z-1")+c.ArrivalsIn("z-2"))
	require.Contains(t, c.hosts[0].log.String(), `"outcome":"evacuated"`)
}

// TestEvacuationsWhileStoreIsAway takes an evacuation back, and requests another one,
// while hosts can't reach the store. The last state stays in force until its return, with
// and without the history of the changes.
func TestEvacuationsWhileStoreIsAway(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprint("compacted=", compacted), func(t *testing.T) {
			c := start(t, options{hosts: 2, domain: twoDomains})
			c.Evacuate("z-1")
			c.requireEvacuated("z-1")
			c.Store.SetFault(store.Busy)
			c.TakeBack("z-1")
			c.Evacuate("z-2")
			c.requireServedWithout("z-1", "away", 0)
			c.requireEvacuated("z-1")
			if compacted {
				c.Store.Compact()
			}
			c.Store.SetFault(store.None)
			c.requireEvacuated("z-2")
			c.requireServedWithout("z-2", "back", 0)
			c.requireUsedAgain("z-1")
		})
	}
}

// TestOlderCopyOfStoreDoesNotChangeEvacuationsAtOnce restores a copy that lacks one
// evacuation and has one that was withdrawn. Hosts keep what they know for a while, also
// one that follows another host and one that starts then; what the operator writes
// afterwards counts at once.
func TestOlderCopyOfStoreDoesNotChangeEvacuationsAtOnce(t *testing.T) {
	now := clock.NewManual()
	c := start(t, options{hosts: 2, domain: twoDomains, linked: true, doubtClock: now.Now})
	c.Evacuate("z-2")
	c.requireEvacuated("z-2")
	copied := c.Store.Revision()
	c.TakeBack("z-2")
	c.Evacuate("z-1")
	c.requireEvacuated("z-1")
	c.Store.Restore(copied)
	require.NoError(t, c.WriteEntry("other", "other-1", "127.0.0.1:9", false)) // makes the views show the era
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return h.edge.View().Position.Era == 2 }, waitLimit, 5*time.Millisecond)
		require.Equal(t, []string{"z-1"}, lo.Keys(h.edge.View().Evacuations))
	}
	c.addHost(2)
	c.requireEvacuated("z-1")
	c.requireServedWithout("z-1", "doubt", 0)
	now.Advance(time.Minute)
	c.requireEvacuated("z-2")
	c.Evacuate("z-3")
	c.TakeBack("z-2")
	c.requireEvacuated("z-3")
}
