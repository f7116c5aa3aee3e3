package edge_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

const (
	// warmupPerSecond is the rate that cold targets of the tests sustain. All hosts together
	// may send them coldBound requests in any one second.
	warmupPerSecond = 6
	coldBound       = warmupPerSecond*1.5 + 5
	// coldFor outlasts each test.
	coldFor = 10 * time.Minute
)

// boundCold publishes a configuration in which a service bounds the requests to its cold
// targets.
func (c *cluster) boundCold(name catalog.ServiceName) {
	config := c.Config()
	service := config.Services[name]
	service.Warmup, service.WarmupPerSecond = 20*time.Second, warmupPerSecond
	config.Services[name] = service
	c.publish(config)
	require.Eventually(c.t, func() bool { return c.hosts[0].edge.View().Config.Version == config.Version }, waitLimit, time.Millisecond)
}

// TestColdTargetsGetNoMoreThanBoundAndCallersAreToldWhenToRetry covers a service of which all
// targets are cold: beyond the bound requests are refused at once and have not run.
func TestColdTargetsGetNoMoreThanBoundAndCallersAreToldWhenToRetry(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	c.boundCold(deployment.Single)
	singles := c.Searchers[deployment.Single]
	for _, s := range singles {
		s.StayCold(coldFor)
	}
	caller := c.hosts[0].caller()
	served, refused := 0, 0
	for i := 0; served < 40; i++ {
		id := fmt.Sprint("cold-", i)
		r, err := caller.ask("GET", "/read/x", id, nil)
		require.NoError(t, err)
		if r.status == 200 {
			served++
			continue
		}
		refused++
		require.Equal(t, 503, r.status)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, 1.1, "the next permit is at most about a second away")
		for _, s := range singles {
			require.Zero(t, s.Runs()[id])
		}
		time.Sleep(time.Millisecond)
	}
	require.Positive(t, refused)
	require.Contains(t, c.hosts[0].log.String(), `"outcome":"targets_warming"`)
	for _, s := range singles {
		all, most := s.ColdArrivals()
		require.Greater(t, all, 1, "each has a share")
		require.LessOrEqual(t, most, int(coldBound))
	}
}

// TestWarmReplicaServesWhileOthersAreCold guards against refusals although a target is warm.
func TestWarmReplicaServesWhileOthersAreCold(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	c.boundCold(deployment.Single)
	singles := c.Searchers[deployment.Single]
	for _, s := range singles[1:] {
		s.StayCold(coldFor)
	}
	caller := c.hosts[0].caller()
	for i := range 200 {
		r, err := caller.ask("GET", "/read/x", fmt.Sprint("warm-", i), nil)
		require.NoError(t, err)
		require.Equal(t, 200, r.status)
	}
	require.Greater(t, len(singles[0].Runs()), 100)
}

// TestSweepOmitsShardOfColdTargets guards against a sweep that waits for cold targets or counts
// their shard as answered.
func TestSweepOmitsShardOfColdTargets(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	shard := shardName(3)
	c.boundCold(catalog.ServiceName(shard))
	for _, s := range c.Searchers[shard] {
		s.StayCold(coldFor)
	}
	caller := c.hosts[0].caller()
	omitted := 0
	for i := range 60 {
		id := fmt.Sprint("sweep-", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		missing := requireValidSweep(t, id, r)
		require.LessOrEqual(t, missing, 1)
		omitted += missing
	}
	require.Positive(t, omitted)
	require.Contains(t, c.hosts[0].log.String(), `"cause":"targets_warming"`)
}

// TestHostsShareBoundOfColdTargets covers three hosts of one reader that all get more requests
// than cold targets sustain: together they stay within the bound, and each has a share. After
// the loss of the reader the others stop.
func TestHostsShareBoundOfColdTargets(t *testing.T) {
	c := start(t, options{work: time.Millisecond, hosts: 3, linked: true})
	c.boundCold(deployment.Single)
	singles := c.Searchers[deployment.Single]
	for _, s := range singles {
		s.StayCold(coldFor)
	}
	flood := func(hosts []*host, until func(served []int) bool) {
		served := make([]int, len(hosts))
		callers := make([]*caller, len(hosts))
		for i, h := range hosts {
			callers[i] = h.caller()
		}
		for n := 0; !until(served); n++ {
			for i, caller := range callers {
				r, err := caller.ask("GET", "/read/x", fmt.Sprintf("share-%p-%d-%d", served, n, i), nil)
				require.NoError(t, err)
				if r.status == 200 {
					served[i]++
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	end := time.Now().Add(waitLimit)
	flood(c.hosts, func(served []int) bool {
		return slices.Min(served) >= 12 || time.Now().After(end)
	})
	require.True(t, time.Now().Before(end), "each host has a share")
	for _, s := range singles {
		_, most := s.ColdArrivals()
		require.LessOrEqual(t, most, int(coldBound))
	}
	c.hosts[0].edge.Stop()
	time.Sleep(warmup.FreshFor)
	before := make([]int, len(singles))
	for i, s := range singles {
		before[i], _ = s.ColdArrivals()
	}
	end = time.Now().Add(time.Second)
	flood(c.hosts[1:], func([]int) bool { return time.Now().After(end) })
	for i, s := range singles {
		after, _ := s.ColdArrivals()
		require.Equal(t, before[i], after)
	}
}
