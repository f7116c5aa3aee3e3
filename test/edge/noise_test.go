package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// TestTargetThatSendsNoHTTPIsLeftAtOnce lets one replica of a shard send noise without
// end. It guards against requests that wait for their deadline, and against connections
// from which the host reads on although no reply can follow.
func TestTargetThatSendsNoHTTPIsLeftAtOnce(t *testing.T) {
	c := start(t, options{work: time.Millisecond, fault: func(service, _ string) searcher.Fault {
		if service == shardName(3) {
			return searcher.Noise
		}
		return searcher.None
	}})
	caller := c.hosts[0].caller()
	for i := range 10 {
		id := fmt.Sprintf("noise-%d", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Equal(t, 1, requireValidSweep(t, id, r))
	}
	require.NotContains(t, c.hosts[0].log.String(), `"outcome":"late"`)
}

// TestReplyWithoutLengthCountsUnlessItIsReset covers answers of a single service that end
// with the connection. It guards against callers that take one that was cut off for
// complete, and against complete ones that are lost.
func TestReplyWithoutLengthCountsUnlessItIsReset(t *testing.T) {
	c := start(t, options{work: time.Millisecond, fault: func(_, id string) searcher.Fault {
		if strings.HasPrefix(id, "cut") {
			return searcher.ResetNoLength
		}
		return searcher.NoLength
	}})
	caller := c.hosts[0].caller()
	for i := range 4 {
		r, err := caller.ask("POST", "/order/x", fmt.Sprintf("cut-%d", i), []byte("body"))
		require.NoError(t, err)
		require.Equal(t, 502, r.status, "the request may have run")
		r, err = caller.ask("POST", "/order/x", fmt.Sprintf("whole-%d", i), []byte("body"))
		require.NoError(t, err)
		require.Equal(t, 200, r.status)
	}
}
