package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

const (
	// limitSettles is the time that hosts have to heed a limit, limitSpan the time in which a
	// target then gets no more than 1.5 times what the limit allows, and 5 requests.
	limitSettles = 4 * time.Second
	limitSpan    = 4 * time.Second
)

// limitBound is the number of requests in any limitSpan that a target may get which states a
// limit per second.
func limitBound(perSecond float64) int { return int(1.5*perSecond*limitSpan.Seconds()) + 5 }

// flood sends requests to a path through the hosts at once, each over two connections, and
// returns how many were served and refused.
func flood(hosts []*host, path, id string, lasts, pause time.Duration) (served, refused int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(lasts)
	for i := range 2 * len(hosts) {
		caller := hosts[i%len(hosts)].caller()
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r, err := caller.ask("GET", path, fmt.Sprintf("%s-%d-%d", id, i, n), nil)
				mu.Lock()
				if err == nil && r.status == 200 {
					served++
				} else if err == nil && r.status == 503 && r.header.Get("Retry-After") != "" {
					refused++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wait.Wait()
	return served, refused
}

// TestTargetsGetNoMoreThanTheirLimitFromAllHosts guards against hosts that each keep to a
// target's limit, or to none, and together send it more.
func TestTargetsGetNoMoreThanTheirLimitFromAllHosts(t *testing.T) {
	c := start(t, options{work: time.Millisecond, hosts: 3, linked: true})
	singles := c.Searchers[deployment.Single]
	singles[0].StateLimit("12.5")
	singles[1].StateLimit("4")
	served, _ := flood(c.hosts, "/read/x", "limit", limitSettles+2*limitSpan, 25*time.Millisecond)
	require.LessOrEqual(t, singles[0].MostArrivals(limitSpan, limitSettles), limitBound(12.5))
	require.LessOrEqual(t, singles[1].MostArrivals(limitSpan, limitSettles), limitBound(4))
	require.Greater(t, singles[0].MostArrivals(limitSpan, limitSettles), int(12.5*limitSpan.Seconds()/2), "the limit is used")
	require.Greater(t, served, 500, "the replica without a limit serves the others")
}

// TestSweepsKeepToLimitsOfAllReplicasOfShard guards against hedges, retries and sweeps beyond
// limits, and against refusals that don't say when to come back.
func TestSweepsKeepToLimitsOfAllReplicasOfShard(t *testing.T) {
	c := start(t, options{work: time.Millisecond, hosts: 3, linked: true})
	limited := c.Searchers[shardName(2)]
	for _, s := range limited {
		s.StateLimit("10")
	}
	served, _ := flood(c.hosts, "/sweep/x", "limit", limitSettles+limitSpan, 40*time.Millisecond)
	for _, s := range limited {
		require.LessOrEqual(t, s.MostArrivals(limitSpan, limitSettles), limitBound(10))
	}
	require.Greater(t, served, 150, "sweeps leave out the shard")
}
