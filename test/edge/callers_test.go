package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/internal/standin/store"
)

func TestInvalidRequestIsRefusedAndConnectionIsClosed(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	head := "POST /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: bad\r\n"
	for name, tc := range map[string]struct {
		sent   string
		status int
	}{
		"repeated content length":             {head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"conflicting content lengths":         {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		"content length and chunked body":     {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"header line without carriage return": {"GET /read/x HTTP/1.1\r\nHost: a.example\nRequest-Id: bad\r\n\r\n", 400},
		"no carriage returns":                 {"GET /read/x HTTP/1.1\nHost: a.example\n\n", 400},
		"space before colon":                  {"GET /read/x HTTP/1.1\r\nHost : a.example\r\n\r\n", 400},
		"folded header":                       {head + "X: a\r\n b\r\n\r\n", 400},
		"unknown transfer coding":             {head + "Transfer-Encoding: xchunked\r\n\r\n", 400},
		"repeated Host header":                {head + "Host: b.example\r\n\r\n", 400},
		"missing request id":                  {"GET /read/x HTTP/1.1\r\nHost: a.example\r\n\r\n", 400},
		"oversized header":                    {head + "X: " + strings.Repeat("a", 5000) + "\r\n\r\n", 431},
		"oversized body":                      {head + "Content-Length: 70000\r\n\r\n", 413},
		"slow header":                         {"GET /read/x HTTP/1.1\r\nHost:", 408},
		"malformed request line":              {"hello\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			conn := c.hosts[0].dial(t)
			_, err := io.WriteString(conn, tc.sent)
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.NoError(t, resp.Body.Close())
			_, err = io.Copy(io.Discard, reader)
			require.NoError(t, err, "the host must close the connection")
		})
	}
	for _, s := range c.Searchers["single"] {
		require.Empty(t, s.Arrivals())
	}
}

func TestPathWithoutRouteIsNotFound(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	r, err := c.hosts[0].caller().ask("GET", "/nowhere/", "x", nil)
	require.NoError(t, err)
	require.Equal(t, 404, r.status)
}

func TestMethodPathBodyAndHeadersAreForwardedUnchanged(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	body := []byte("some body")
	r, err := c.hosts[0].caller().ask("POST", "/read/a%20b//c?x=%2f", "same", body)
	require.NoError(t, err)
	require.Equal(t, 200, r.status)
	require.Equal(t, searcher.Records("single", "same", body, records), r.body)
	require.NotEmpty(t, r.header.Get("Response-Stamp"))
}

func TestChunkedAndPipelinedRequestsAreServedInOrder(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	conn := c.hosts[0].dial(t)
	head := "Host: a.example\r\nDeadline-Ms: 900\r\n"
	_, err := io.WriteString(conn, "POST /read/x HTTP/1.1\r\n"+head+"Request-Id: p1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+
		"GET /read/x HTTP/1.1\r\n"+head+"Request-Id: p2\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for i, body := range [][]byte{[]byte("abc"), nil} {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		id := fmt.Sprintf("p%d", i+1)
		require.Equal(t, id, resp.Header.Get("Request-Id"))
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, searcher.Records("single", id, body, records), got)
	}
}

func TestCallerDisconnectCancelsTargetWork(t *testing.T) {
	c := start(t, options{work: 1200 * time.Millisecond})
	conn := c.hosts[0].dial(t)
	_, err := io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: left\r\nDeadline-Ms: 5000\r\n\r\n")
	require.NoError(t, err)
	running := func() int {
		n := 0
		for _, s := range c.Searchers["single"] {
			n += s.Runs()["left"]
		}
		return n
	}
	require.Eventually(t, func() bool { return running() > 0 }, waitLimit, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool {
		cancelled := 0
		for _, s := range c.Searchers["single"] {
			cancelled += s.Disconnects()
		}
		return cancelled == running()
	}, waitLimit, time.Millisecond)
}

// TestGracefulStopCompletesRequestsInFlight guards against requests that a stopping host
// cuts off. The grace leaves the last requests 1.5 s, since they take up to half a second
// on a busy machine.
func TestGracefulStopCompletesRequestsInFlight(t *testing.T) {
	c := start(t, options{hosts: 2, work: 5 * time.Millisecond, stopWithin: 6 * time.Second})
	stopping := make(chan bool)
	go func() {
		time.Sleep(200 * time.Millisecond)
		stopping <- c.hosts[0].edge.Stop()
	}()
	var all sync.WaitGroup
	failures := make(chan error, 4)
	stopped := make(chan struct{})
	for k := range 4 {
		all.Go(func() {
			caller := c.hosts[0].caller()
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("stop-%d-%d", k, i)
				r, err := caller.ask("GET", "/sweep/x", id, nil)
				// A refused connection carries no request.
				var op *net.OpError
				if errors.As(err, &op) && op.Op == "dial" {
					return
				}
				if err != nil {
					failures <- fmt.Errorf("%s: %w", id, err)
					return
				}
				if r.status != 200 {
					failures <- fmt.Errorf("%s: status %d", id, r.status)
					return
				}
			}
		})
	}
	require.True(t, <-stopping)
	close(stopped)
	all.Wait()
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
	require.False(t, c.hosts[0].isReady())
}

func TestHostServesWhileStoreIsUnavailable(t *testing.T) {
	for name, fault := range map[string]store.Fault{
		"busy": store.Busy, "too many": store.TooMany, "silent": store.Silent, "garbled": store.Garbled,
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, options{work: time.Millisecond})
			c.Store.SetFault(fault)
			require.Eventually(t, func() bool { return strings.Contains(c.hosts[0].log.String(), "store lost") }, waitLimit, 10*time.Millisecond)
			r, err := c.hosts[0].caller().ask("GET", "/sweep/x", "away", nil)
			require.NoError(t, err)
			require.Zero(t, requireValidSweep(t, "away", r))
			require.True(t, c.hosts[0].isReady())
			c.Store.SetFault(store.None)
			c.Store.Compact()
			next := c.Config()
			next.Routes[1].Prefix = "/two/"
			c.publish(next)
			require.Eventually(t, func() bool {
				r, err := c.hosts[0].caller().ask("GET", "/two/", "back", nil)
				return err == nil && r.status == 200
			}, waitLimit, 20*time.Millisecond)
			require.Contains(t, c.hosts[0].log.String(), "store regained")
		})
	}
}

func TestUnreadableStoreEntryIsLoggedAndIgnored(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	c.Store.Put("op/config", []byte("{"))
	c.Store.Put("servers/forged", []byte(`{"service":7}`))
	require.Eventually(t, func() bool {
		log := c.hosts[0].log.String()
		return strings.Contains(log, "configuration is unreadable") && strings.Contains(log, "servers/forged")
	}, waitLimit, 10*time.Millisecond)
	r, err := c.hosts[0].caller().ask("GET", "/sweep/x", "after", nil)
	require.NoError(t, err)
	require.Zero(t, requireValidSweep(t, "after", r))
}

func TestLeavingTargetReceivesNoNewRequests(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	leaving := c.Searchers["single"][0]
	require.NoError(t, c.WriteEntry(deployment.Single, "single-0", leaving.Addr(), true))
	require.Eventually(t, func() bool { return strings.Contains(c.hosts[0].log.String(), `"leaving":true`) }, waitLimit, 5*time.Millisecond)
	before := len(leaving.Arrivals())
	caller := c.hosts[0].caller()
	for i := range 30 {
		r, err := caller.ask("GET", "/read/x", fmt.Sprintf("drain-%d", i), nil)
		require.NoError(t, err)
		require.Equal(t, 200, r.status)
	}
	require.Len(t, leaving.Arrivals(), before)
}

// TestAddressReusedByAnotherServiceReceivesAtMostOneRequest replaces a target with a
// target of another service at the same address while the store is unavailable and
// cannot announce the change. After the first request reaches the new process, the
// host must send no more requests there.
func TestAddressReusedByAnotherServiceReceivesAtMostOneRequest(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	c.Store.SetFault(store.Busy)
	replaced := c.Searchers[shardName(2)][0]
	addr := replaced.Addr()
	replaced.Close()
	other, err := searcher.Start(addr, searcher.Options{ID: "other-1", Service: "other", Slots: 2, Queue: 12, Records: records})
	require.NoError(t, err)
	t.Cleanup(other.Close)
	caller := c.hosts[0].caller()
	for i := range 100 {
		id := fmt.Sprintf("moved-%d", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Zero(t, requireValidSweep(t, id, r))
		time.Sleep(5 * time.Millisecond)
	}
	require.LessOrEqual(t, len(other.Arrivals()), 1)
	require.Empty(t, other.Runs())
}
