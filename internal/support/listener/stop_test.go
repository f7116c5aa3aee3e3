package listener

import (
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestConnectionsOfBacklogAreAcceptedBeforeClose guards against a close that resets
// connections whose handshake is complete but which were not accepted yet.
func TestConnectionsOfBacklogAreAcceptedBeforeClose(t *testing.T) {
	l, err := Listen("127.0.0.1:0", logrus.New())
	require.NoError(t, err)
	early, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = early.Close() }()
	require.NoError(t, refuseHandshakes(l))

	_, err = net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
	require.Error(t, err, "a handshake began after the listener was told to stop")
	require.Equal(t, 1, backlog(l), "the connection is not accepted yet")
	accepted, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, early.LocalAddr().String(), accepted.RemoteAddr().String())
	require.NoError(t, accepted.Close())
	require.Zero(t, backlog(l))

	require.NoError(t, Close(l))
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
