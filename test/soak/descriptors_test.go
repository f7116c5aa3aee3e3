package soak

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// freeDescriptors is the number of file descriptors that a host has left, and
	// callersBeyond the number of callers that connect to it at once.
	freeDescriptors = 8
	callersBeyond   = 40
)

// TestHostServesAgainAfterItHadNoDescriptors guards against a host whose listeners end for good when
// it has no free file descriptor for a moment.
func TestHostServesAgainAfterItHadNoDescriptors(t *testing.T) {
	e := newEnvironment(t, 1)
	e.startPlatform(deployment.Options{Attempts: 3, Work: work, Timeout: timeout}, singles)
	e.addHosts(readers + 1)
	harness.Eventually(t, "all hosts are ready", e.allReady)
	e.awaitRecovery("start")
	h := e.hosts[0]
	restore := h.limitDescriptors(freeDescriptors)
	for _, addr := range []string{h.caller, h.ready, h.peer.Addr()} {
		conns := openConns(addr)
		harness.Eventually(t, "the host has no descriptors", func() bool { return h.acceptFailures() > 0 })
		time.Sleep(3 * callersBeyond * time.Millisecond)
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	restore()
	harness.Eventually(t, "all hosts are ready again", e.allReady)
	e.awaitRecovery("descriptors")
	e.checkProcesses()
	require.NotContains(t, h.process.Log(), "listener closed")
}

// openConns opens callersBeyond connections, as far as they can be opened.
func openConns(addr string) []net.Conn {
	var conns []net.Conn
	for range callersBeyond {
		if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

// limitDescriptors bounds the file descriptors of the host's process to those that are open and as
// many more as are free. The bound ends when the returned function is called.
func (h *host) limitDescriptors(free int) (restore func()) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.PID()))
	require.NoError(h.env.t, err)
	var before unix.Rlimit
	require.NoError(h.env.t, unix.Prlimit(h.process.PID(), unix.RLIMIT_NOFILE, nil, &before))
	bound := before
	bound.Cur = uint64(len(open) + free)
	require.NoError(h.env.t, unix.Prlimit(h.process.PID(), unix.RLIMIT_NOFILE, &bound, nil))
	return func() { require.NoError(h.env.t, unix.Prlimit(h.process.PID(), unix.RLIMIT_NOFILE, &before, nil)) }
}

// acceptFailures returns the number of log lines on connections that were not accepted.
func (h *host) acceptFailures() int { return strings.Count(h.process.Log(), "too many open files") }
