package edge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOverloadIsRefusedBeforeDispatchAndRestIsServed sends twice as many concurrent sweeps
// as the targets can run within the objective: four slots per shard and 200 ms of work
// give 100 sweeps in 5 s. Sweeps that would wait too long must be refused before they
// reach a target, and none may wait until its deadline passes.
func TestOverloadIsRefusedBeforeDispatchAndRestIsServed(t *testing.T) {
	const callers = 200
	c := start(t, options{work: 200 * time.Millisecond})
	var mu sync.Mutex
	statuses := map[string]int{}
	var all sync.WaitGroup
	for k := range callers {
		all.Go(func() {
			id := fmt.Sprintf("load-%d", k)
			r, err := c.hosts[0].caller().ask("GET", "/sweep/x", id, nil)
			status := 0
			if err == nil {
				status = r.status
			}
			if status == 503 && r.header.Get("Retry-After") == "" {
				status = -1
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
	}
	all.Wait()
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		if status != 503 {
			continue
		}
		for _, list := range c.Searchers {
			for _, s := range list {
				require.Zero(t, s.Arrivals()[id], "%s was refused but reached a target", id)
			}
		}
	}
	require.Positive(t, counts[200])
	require.Positive(t, counts[503])
	require.Equal(t, callers, counts[200]+counts[503], "%v", counts)
}
