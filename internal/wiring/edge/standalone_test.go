package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostIsStandaloneOnlyWithoutPeerAddressAndReaders covers a list of readers that
// is filled after the start: a host that until then counted itself as the whole fleet
// would open more than its share of the targets' connections.
func TestHostIsStandaloneOnlyWithoutPeerAddressAndReaders(t *testing.T) {
	none := func() []string { return nil }
	one := func() []string { return []string{"10.0.0.1:1"} }
	require.True(t, (&Edge{opts: Options{Readers: none}}).standalone())
	require.False(t, (&Edge{opts: Options{Readers: none, PeerAddr: "10.0.0.2:1"}}).standalone())
	require.False(t, (&Edge{opts: Options{Readers: one}}).standalone())
}
