package listener

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// TestAcceptGoesOnAfterErrors guards against a server that ends since the process had no free file
// descriptors for a moment, so that later callers wait for ever.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	log, hook := test.NewNullLogger()
	l, err := Listen("127.0.0.1:0", log)
	require.NoError(t, err)
	failing := l.(*retrying)
	left := []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, errors.New("unknown")}
	failing.accept = func() (net.Conn, error) {
		if len(left) == 0 {
			return failing.TCPListener.Accept()
		}
		err := left[0]
		left = left[1:]
		return nil, err
	}
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, client.LocalAddr().String(), conn.RemoteAddr().String())
	require.NoError(t, conn.Close())
	require.NotEmpty(t, hook.AllEntries())
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
