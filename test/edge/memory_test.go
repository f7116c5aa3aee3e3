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

// TestEndlessRepliesStayWithinMemoryLimit lets targets send bodies without end to many
// requests at once. It guards against a host that reads them until it is killed, against
// refusals of requests that have run, and against targets that count as lost since the host
// closed their connections.
func TestEndlessRepliesStayWithinMemoryLimit(t *testing.T) {
	const (
		memory  = 64 << 20
		callers = 12
	)
	c := start(t, options{work: time.Millisecond, memory: memory, fault: func(service, id string) searcher.Fault {
		if service == deployment.Single && strings.HasPrefix(id, "endless") || service == shardName(2) {
			return searcher.EndlessBody
		}
		return searcher.None
	}})
	var all sync.WaitGroup
	for k := range callers {
		all.Go(func() {
			caller := c.hosts[0].caller()
			r, err := caller.ask("POST", "/order/x", fmt.Sprintf("endless-%d", k), []byte("body"))
			if err != nil || r.status != 502 {
				t.Errorf("endless-%d: %v %v, but it may have run", k, r, err)
			}
			id := fmt.Sprintf("sweep-%d", k)
			r, err = caller.ask("GET", "/sweep/x", id, nil)
			if err != nil || r.status != 200 || r.header.Get("Missing-Parts") != "1" {
				t.Errorf("%s: %v %v", id, r, err)
			}
		})
	}
	all.Wait()
	sent := int64(0)
	for _, s := range c.Searchers[deployment.Single] {
		sent += s.Sent()
	}
	// A request gets at most a quarter of the limit, which is a quarter of the memory;
	// what the kernel buffers comes on top.
	require.Less(t, sent, int64(callers)*(memory/16+16<<20))
	r, err := c.hosts[0].caller().ask("GET", "/read/x", "after", nil)
	require.NoError(t, err)
	require.Equal(t, 200, r.status)
	require.Contains(t, c.hosts[0].log.String(), "memory limit reached")
	require.NotContains(t, c.hosts[0].log.String(), "target lost", "the targets have accepted the connections")
}
