package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/platform"
)

// raisedLimits are larger than those with which clusters start.
var raisedLimits = catalog.Limits{MaxHeaderBytes: 65536, MaxBodyBytes: 262144, HeaderTimeout: 20 * time.Second, IdleTimeout: time.Minute}

// firstHeaderTimeout is the time limit of requests before it is raised.
const firstHeaderTimeout = 3 * time.Second

// rawCaller is a caller with one connection, which writes requests piece by piece.
type rawCaller struct {
	t    *testing.T
	conn net.Conn
	from *bufio.Reader
}

func (h *host) rawCaller(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return &rawCaller{t: t, conn: conn, from: bufio.NewReader(conn)}
}

func (c *rawCaller) write(text string) {
	c.t.Helper()
	_, err := c.conn.Write([]byte(text))
	require.NoError(c.t, err)
}

// status reads an answer and returns its status.
func (c *rawCaller) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.from, nil)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	return resp.StatusCode
}

// head returns the head of a request, with a field of the given size.
func head(id string, size int, more string) string {
	return fmt.Sprintf("POST /read/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nFiller: %s\r\n%s\r\n",
		deployment.HostName, platform.HeaderRequestID, id, platform.HeaderDeadline, strings.Repeat("x", size), more)
}

// raise publishes the raised limits and waits until the host has them.
func (c *cluster) raise() {
	c.t.Helper()
	next := c.Config()
	next.Limits = raisedLimits
	c.publish(next)
	require.Eventually(c.t, func() bool { return c.hosts[0].edge.View().Config.Limits == raisedLimits }, waitLimit, time.Millisecond)
}

// TestRaisedLimitsApplyToOpenConnections guards against requests within the configured limits that
// are refused on connections which were opened, or had begun a request, before these were raised.
func TestRaisedLimitsApplyToOpenConnections(t *testing.T) {
	c := start(t, options{work: time.Millisecond, headerTimeout: firstHeaderTimeout})
	h := c.hosts[0]
	idle, unused, inHead := h.rawCaller(t), h.rawCaller(t), h.rawCaller(t)
	idle.write(head("before", 10, ""))
	require.Equal(t, http.StatusOK, idle.status())
	slow := head("in-head", 20_000, "")
	inHead.write(slow[:2000])
	c.raise()
	for i, caller := range []*rawCaller{idle, unused, idle} {
		caller.write(head(fmt.Sprintf("after-%d", i), 20_000, ""))
		require.Equal(t, http.StatusOK, caller.status())
	}
	time.Sleep(firstHeaderTimeout)
	inHead.write(slow[2000:])
	require.Equal(t, http.StatusOK, inHead.status())
	idle.write(head("too-large", raisedLimits.MaxHeaderBytes, ""))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, idle.status())
}

// TestBodyThatIsReadSlowlyHasTheTimeInForce guards against a request that is given up by a time limit
// which has been raised since it began.
func TestBodyThatIsReadSlowlyHasTheTimeInForce(t *testing.T) {
	c := start(t, options{work: time.Millisecond, headerTimeout: firstHeaderTimeout})
	caller := c.hosts[0].rawCaller(t)
	caller.write(head("slow", 10, "Content-Length: 4\r\n") + "ab")
	c.raise()
	time.Sleep(firstHeaderTimeout)
	caller.write("cd")
	require.Equal(t, http.StatusOK, caller.status())
}

// TestConnectionStaysOpenForTheRaisedIdleTime guards against a caller whose connection is closed
// before the idle time in force.
func TestConnectionStaysOpenForTheRaisedIdleTime(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	caller := c.hosts[0].rawCaller(t)
	c.raise()
	time.Sleep(6 * time.Second)
	caller.write(head("late", 10, ""))
	require.Equal(t, http.StatusOK, caller.status())
}

// TestHostWithoutConfigurationRefusesNoRequestForItsSize guards against requests within the limits
// that a host ends with a status of 400 to 499 before, or since, it knows them.
func TestHostWithoutConfigurationRefusesNoRequestForItsSize(t *testing.T) {
	c := start(t, options{work: time.Millisecond, storeCuttable: true})
	next := c.Config()
	next.Limits = raisedLimits
	c.publish(next)
	c.blockStore = true
	h := c.startHost(1)
	opened := h.rawCaller(t)
	large := map[string]string{
		"head": head("head", 20_000, ""),
		"body": head("body", 10, "Content-Length: 300000\r\n") + strings.Repeat("x", 300_000),
	}
	for name, request := range large {
		caller := h.rawCaller(t)
		caller.write(request)
		require.Equal(t, http.StatusServiceUnavailable, caller.status(), name)
	}
	h.toStore.SetRule(faultproxy.Rule{})
	h.awaitReady(t)
	opened.write(large["head"])
	require.Equal(t, http.StatusOK, opened.status())
}
