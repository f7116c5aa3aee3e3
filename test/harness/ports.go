package harness

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// freeAddrs returns loopback addresses whose ports were free a moment ago, all
// different.
func freeAddrs(tb testing.TB, count int) []string {
	tb.Helper()
	addrs := make([]string, 0, count)
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		defer func() { _ = ln.Close() }()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}
