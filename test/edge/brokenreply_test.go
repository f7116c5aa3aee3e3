package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/platform"
)

// replies are the forms of rawserver.Broken or rawserver.Unusual, in a fixed order.
type replies struct {
	names []string
	make  func(headers, body string) map[string][]byte
}

func repliesOf(make func(headers, body string) map[string][]byte) *replies {
	body := searcher.Records(deployment.Single, "", nil, records)
	return &replies{names: slices.Sorted(maps.Keys(make("", string(body)))), make: make}
}

// id returns the id of a request that gets the reply with the given name.
func (r *replies) id(kind, name string) string {
	return fmt.Sprintf("raw-%s-%d", kind, slices.Index(r.names, name))
}

// raw returns the reply that the request's id names, if the searcher is one of the single service
// or of the shard 3. It has further headers.
func (r *replies) raw(searcherID, requestID, signature, further string) []byte {
	service := searcherID[:strings.LastIndexByte(searcherID, '-')]
	if service != deployment.Single && service != shardName(3) {
		return nil
	}
	var kind string
	var n int
	if _, err := fmt.Sscanf(strings.ReplaceAll(requestID, "-", " "), "raw %s %d", &kind, &n); err != nil {
		return nil
	}
	headers := fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s", platform.HeaderRequestID, requestID, platform.HeaderSignature, signature, further)
	body := searcher.Records(service, requestID, nil, records)
	return r.make(headers, string(body))[r.names[n]]
}

// TestBrokenReplyReachesNoCaller guards against callers that get what a target sent against the
// protocol, against work that is repeated or said not to have run, and against connections that
// stay in use.
func TestBrokenReplyReachesNoCaller(t *testing.T) {
	broken := repliesOf(rawserver.Broken)
	c := start(t, options{work: time.Millisecond, raw: func(searcherID, requestID, signature string) ([]byte, bool) {
		return broken.raw(searcherID, requestID, signature, ""), false
	}})
	caller := c.hosts[0].caller()
	var orders []string
	for _, name := range broken.names {
		id := broken.id("order", name)
		r, err := caller.ask(http.MethodPost, "/order/x", id, nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusBadGateway, r.status, name)
		require.Empty(t, r.header.Get(platform.HeaderSignature), name)
		orders = append(orders, id)
		r, err = caller.ask(http.MethodGet, "/read/x", broken.id("read", name), nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusBadGateway, r.status, name)
		require.Empty(t, r.header.Get(platform.HeaderSignature), name)
		id = broken.id("sweep", name)
		r, err = caller.ask(http.MethodGet, "/sweep/x", id, nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, r.status, name)
		require.Equal(t, 1, requireValidSweep(t, id, r), name)
	}
	runs := c.runs()
	for _, id := range orders {
		require.Equal(t, 1, runs[id], id)
	}
	require.Eventually(t, func() bool { return c.held() == 0 }, waitLimit, 5*time.Millisecond, "the connections end")
	require.Contains(t, c.hosts[0].log.String(), "invalid reply was dropped")
	r, err := caller.ask(http.MethodGet, "/read/x", "after", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status)
}

// held returns the number of connections that the hosts keep open after raw bytes.
func (c *cluster) held() int {
	n := 0
	for _, searchers := range c.Searchers {
		for _, s := range searchers {
			n += s.Held()
		}
	}
	return n
}

// TestUnusualReplyReachesTheCaller guards against valid replies that are refused.
func TestUnusualReplyReachesTheCaller(t *testing.T) {
	unusual := repliesOf(rawserver.Unusual)
	c := start(t, options{work: time.Millisecond, raw: func(searcherID, requestID, signature string) ([]byte, bool) {
		return unusual.raw(searcherID, requestID, signature, "Connection: close\r\n"), true
	}})
	caller := c.hosts[0].caller()
	for _, name := range unusual.names {
		id := unusual.id("order", name)
		r, err := caller.ask(http.MethodPost, "/order/x", id, nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, r.status, name)
		require.Equal(t, searcher.Records(deployment.Single, id, nil, records), r.body, name)
		require.NotEmpty(t, r.header.Get(platform.HeaderSignature), name)
		require.Empty(t, r.header.Get("X-Hop"), name)
		id = unusual.id("sweep", name)
		r, err = caller.ask(http.MethodGet, "/sweep/x", id, nil)
		require.NoError(t, err, name)
		require.Equal(t, 0, requireValidSweep(t, id, r), name)
	}
}
