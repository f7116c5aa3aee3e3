package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// TestRequestIsRefusedAfterItCrashedTargetsTwice sends the same request under new ids,
// and each searcher that runs it terminates. Crashes close together count as one, so the
// third request is refused. Without the refusal, such a request could terminate every
// target of its service.
func TestRequestIsRefusedAfterItCrashedTargetsTwice(t *testing.T) {
	var mu sync.Mutex
	var crash func(id string)
	c := start(t, options{work: time.Millisecond, fault: func(service, id string) searcher.Fault {
		if service != "single" || !strings.HasPrefix(id, "poison") {
			return searcher.None
		}
		mu.Lock()
		defer mu.Unlock()
		crash(id)
		return searcher.LoseAnswer
	}})
	for i := range 5 {
		_, err := c.AddSearcher(deployment.Single, fmt.Sprintf("more-%d", i), "127.0.0.1:0")
		require.NoError(t, err)
	}
	// At each attempt, crash closes every searcher where the id has arrived and adds
	// their number to closeCalls, so that a searcher can be counted again.
	closeCalls := 0
	mu.Lock()
	crash = func(id string) {
		for _, s := range c.Searchers["single"] {
			if s.Arrivals()[id] > 0 {
				closeCalls++
				go s.Close()
			}
		}
	}
	mu.Unlock()
	caller := c.hosts[0].caller()
	// The host logs each target entry that it receives; more-4 is the last one.
	require.Eventually(t, func() bool { return strings.Contains(c.hosts[0].log.String(), "more-4") }, waitLimit, time.Millisecond)
	for i := range 2 {
		r, err := caller.ask("GET", "/read/poison", fmt.Sprintf("poison-%d", i), nil)
		require.NoError(t, err)
		require.Equal(t, 502, r.status)
		// The pause is longer than sameCrashWindow of package crashguard, within which
		// crashes count as one.
		time.Sleep(700 * time.Millisecond)
	}
	// A request has at most two attempts: the first counts one searcher, the second
	// two. Two requests count at most 6.
	mu.Lock()
	before := closeCalls
	mu.Unlock()
	require.LessOrEqual(t, before, 6)
	r, err := caller.ask("GET", "/read/poison", "poison-last", nil)
	require.NoError(t, err)
	require.Equal(t, 503, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	for _, s := range c.Searchers["single"] {
		require.Zero(t, s.Arrivals()["poison-last"])
	}
	r, err = caller.ask("GET", "/read/other", "innocent", nil)
	require.NoError(t, err)
	require.Equal(t, 200, r.status)
}
