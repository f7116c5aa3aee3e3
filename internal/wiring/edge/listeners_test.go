package edge

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// TestNoListenerStaysOpenIfOneFails guards against a host that does not start and keeps
// callers' connections in the backlog of a listener that nobody accepts from.
func TestNoListenerStaysOpenIfOneFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	addrs := loopback.Addrs(4)
	for failing := range addrs {
		at := append([]string{}, addrs...)
		at[failing] = taken.Addr().String()
		e := &Edge{opts: Options{CallerAddr: at[0], ReadyAddr: at[1], MetricsAddr: at[2], PeerAddr: at[3]}}
		require.Error(t, e.Start())
		for i, addr := range addrs {
			if i == failing {
				continue
			}
			l, err := net.Listen("tcp", addr)
			require.NoError(t, err, "listener %d is open although %d failed", i, failing)
			require.NoError(t, l.Close())
		}
	}
}
