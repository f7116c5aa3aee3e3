package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAHostThatOthersCanReachIsNotAloneForWantOfReaders: the list of readers may
// come late, and a host that took the fleet for itself would fill the targets.
func TestAHostThatOthersCanReachIsNotAloneForWantOfReaders(t *testing.T) {
	none := func() []string { return nil }
	one := func() []string { return []string{"10.0.0.1:1"} }
	require.True(t, (&Edge{opts: Options{Readers: none}}).alone())
	require.False(t, (&Edge{opts: Options{Readers: none, PeerAddr: "10.0.0.2:1"}}).alone())
	require.False(t, (&Edge{opts: Options{Readers: one}}).alone())
}
