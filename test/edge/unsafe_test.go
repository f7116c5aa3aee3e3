package edge_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// TestUnsafeRequestRunsAtMostOnceAndIsNeverRefusedAfterRunning sends unsafe
// (non-idempotent) requests while targets shed, fail, lose or truncate answers or send
// malformed ones, and while a target terminates and a host stops. It guards against
// retries of a request that may have run, and against refusals of a request that did
// run.
func TestUnsafeRequestRunsAtMostOnceAndIsNeverRefusedAfterRunning(t *testing.T) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(7, 11))
	faults := []searcher.Fault{
		searcher.None, searcher.None, searcher.None, searcher.Shed, searcher.FailRun,
		searcher.LoseAnswer, searcher.CutAnswer, searcher.CutHead, searcher.TwoAnswers, searcher.NoLength,
	}
	c := start(t, options{hosts: 2, work: time.Millisecond, fault: func(string, string) searcher.Fault {
		mu.Lock()
		defer mu.Unlock()
		return faults[random.IntN(len(faults))]
	}})
	outcomes := sendUnsafe(c, 300)
	runs := map[string]int{}
	for _, s := range c.Searchers["single"] {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	ran := 0
	for id, status := range outcomes {
		require.LessOrEqual(t, runs[id], 1, "%s ran more than once", id)
		if status == 503 || status == 429 || status == 408 || status == 421 {
			require.Zero(t, runs[id], "%s was refused with status %d but ran", id, status)
		}
		ran += runs[id]
	}
	require.Positive(t, ran)
}

// sendUnsafe sends n requests from several callers while a searcher terminates and a
// host stops. It returns the status by request id, 0 for a request without a reply.
func sendUnsafe(c *cluster, n int) map[string]int {
	const callers = 6
	var mu sync.Mutex
	outcomes := map[string]int{}
	var all sync.WaitGroup
	for k := range callers {
		all.Go(func() {
			caller := c.hosts[k%len(c.hosts)].caller()
			for i := range n / callers {
				id := fmt.Sprintf("unsafe-%d-%d", k, i)
				status := 0
				if r, err := caller.ask("POST", "/order/x", id, []byte("body")); err == nil {
					status = r.status
				}
				mu.Lock()
				outcomes[id] = status
				mu.Unlock()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	c.Searchers["single"][0].Close()
	time.Sleep(50 * time.Millisecond)
	c.hosts[1].edge.Stop()
	all.Wait()
	return outcomes
}
