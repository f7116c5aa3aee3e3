package front

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// slowConn is a connection of a host that is short of processor time: the deadline of the last
// look for a request has passed before the next read. It counts the bytes that are read while it
// closes.
type slowConn struct {
	*net.TCPConn
	// beforeLastLook is called when that deadline is set.
	beforeLastLook func()
	closing        atomic.Bool
	dropped        atomic.Int64
}

func (c *slowConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if left := time.Until(at); left > 0 && left <= lastReadWait {
		c.beforeLastLook()
		time.Sleep(time.Until(at))
	}
	return err
}

func (c *slowConn) CloseWrite() error {
	c.closing.Store(true)
	return c.TCPConn.CloseWrite()
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.closing.Load() {
		c.dropped.Add(int64(n))
	}
	return n, err
}

// serveSlowConn returns a server with one connection, which has had one exchange and is idle,
// and the caller's end.
func serveSlowConn(t *testing.T) (*Server, *slowConn, net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller := dial(t, l)
	accepted, err := l.Accept()
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Options{Codec: lineCodec{}, Handler: emptyHandler{}, Observer: noObserver{}, Log: log})
	raw := &slowConn{TCPConn: accepted.(*net.TCPConn), beforeLastLook: func() {}}
	s.add(raw)
	_, err = io.WriteString(caller, "one\n")
	require.NoError(t, err)
	reader := bufio.NewReader(caller)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	waitIdle(t, s)
	return s, raw, caller, reader
}

// TestRequestThatHasArrivedIsServedWhileHostIsSlow guards against dropping a request because
// the last look for it came after its deadline.
func TestRequestThatHasArrivedIsServedWhileHostIsSlow(t *testing.T) {
	s, raw, caller, reader := serveSlowConn(t)
	raw.beforeLastLook = func() {
		_, err := io.WriteString(caller, "two\n")
		require.NoError(t, err)
	}
	s.Drain()
	s.CloseIdle()
	got, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "two\n", got)
}

// TestRequestThatCrossesCloseOfIdleConnectionIsNotRead guards against a request that is read and
// dropped: its caller couldn't tell whether it may send it again.
func TestRequestThatCrossesCloseOfIdleConnectionIsNotRead(t *testing.T) {
	s, raw, caller, reader := serveSlowConn(t)
	s.Drain()
	s.CloseIdle()
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_, _ = io.WriteString(caller, "late\n")
	require.True(t, s.Wait(time.Now().Add(10*time.Second)))
	require.Zero(t, raw.dropped.Load())
}
