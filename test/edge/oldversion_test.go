package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/platform"
)

// TestChunksOfAnOldVersionAreNoAnswer has a target answer with chunks under HTTP/1.0, which has
// none, and stop within them. It guards against callers that get the chunks that arrived as a
// complete body.
func TestChunksOfAnOldVersionAreNoAnswer(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	target, err := rawserver.Start(func(r *http.Request, _ []byte) ([]byte, bool) {
		id := r.Header.Get(platform.HeaderRequestID)
		return fmt.Appendf(nil, "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", id, id), true
	})
	require.NoError(t, err)
	t.Cleanup(target.Close)
	require.NoError(t, c.WriteEntry("old", "old-0", target.Addr(), false))
	next := c.Config()
	next.Services["old"] = catalog.Service{Name: "old", MaxConns: 4}
	next.Routes[2].Split = []catalog.WeightedService{{Service: "old", Weight: 1}}
	c.publish(next)
	caller := c.hosts[0].caller()
	const asked = 3
	for i := 0; target.Requests() < asked && i < 1000; i++ {
		before := target.Requests()
		r, err := caller.ask(http.MethodPost, "/order/x", fmt.Sprintf("old-%d", i), nil)
		require.NoError(t, err)
		if target.Requests() > before {
			require.Equal(t, http.StatusBadGateway, r.status, "body %q", r.body)
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.Equal(t, asked, target.Requests())
}
