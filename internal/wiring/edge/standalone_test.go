package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostWithPeerAddressIsNotStandalone covers a list of readers that is filled
// late: a host that assumes a fleet of one meanwhile takes all of the targets'
// connections.
func TestHostWithPeerAddressIsNotStandalone(t *testing.T) {
	none := func() []string { return nil }
	one := func() []string { return []string{"10.0.0.1:1"} }
	require.True(t, (&Edge{opts: Options{Readers: none}}).standalone())
	require.False(t, (&Edge{opts: Options{Readers: none, PeerAddr: "10.0.0.2:1"}}).standalone())
	require.False(t, (&Edge{opts: Options{Readers: one}}).standalone())
}
