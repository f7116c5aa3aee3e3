package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAddressesAreDistinctLoopbackAndFree(t *testing.T) {
	seen := map[string]bool{}
	for _, addr := range Addrs(600) {
		require.False(t, seen[addr], addr)
		seen[addr] = true
		host, _, err := net.SplitHostPort(addr)
		require.NoError(t, err)
		require.True(t, net.ParseIP(host).IsLoopback(), addr)
	}
	listener, err := net.Listen("tcp", Addr())
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}
