package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestHostThatSendsWithoutEndIsLeft guards against a handshake that is read until the host has no
// memory. The message behind it is the first of the mesh's own handshake.
func TestHostThatSendsWithoutEndIsLeft(t *testing.T) {
	for name, start := range map[string]func() (*rawserver.Server, error){"head": rawserver.StartEndlessHead, "message": rawserver.StartEndlessMessage} {
		server, err := start()
		require.NoError(t, err)
		t.Cleanup(server.Close)
		m, _ := startMesh(t, "a", newAddressTable(), nil, nil)
		_, err = m.dial(t.Context(), "other", server.Addr(), nil)
		require.Error(t, err, name)
		require.Less(t, server.Sent(), int64(16<<20), name)
	}
}
