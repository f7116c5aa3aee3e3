package front

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// slowConn is a connection of a host that is short of processor time: a read deadline that is
// near has passed before the next read. It counts the bytes that are read while it closes.
type slowConn struct {
	*net.TCPConn
	// near is how far off such a deadline is at most; onNear is called when one is set.
	near    time.Duration
	onNear  func()
	closing atomic.Bool
	dropped atomic.Int64
}

func (c *slowConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if left := time.Until(at); left > 0 && left <= c.near {
		c.onNear()
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

// connect returns both ends of a connection, the caller's first.
func connect(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller := dial(t, l)
	accepted, err := l.Accept()
	require.NoError(t, err)
	return caller, accepted.(*net.TCPConn)
}

// serveSlowConn returns a server with one connection, which has had one exchange and is idle,
// and the caller's end.
func serveSlowConn(t *testing.T) (*Server, *slowConn, net.Conn, *bufio.Reader) {
	t.Helper()
	caller, accepted := connect(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Options{Codec: lineCodec{}, Handler: emptyHandler{}, Observer: noObserver{}, Log: log})
	raw := &slowConn{TCPConn: accepted, near: lastReadWait, onNear: func() {}}
	s.add(raw)
	_, err := io.WriteString(caller, "one\n")
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
	raw.onNear = func() {
		_, err := io.WriteString(caller, "two\n")
		require.NoError(t, err)
	}
	s.Drain()
	s.CloseIdle()
	got, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "two\n", got)
}

// shortIdleHandler closes idle connections after lastReadWait.
type shortIdleHandler struct{ emptyHandler }

func (shortIdleHandler) Limits() (catalog.Limits, bool) {
	limits := defaultLimits
	limits.IdleTimeout = lastReadWait
	return limits, true
}

// TestRequestThatHasArrivedIsServedAfterIdleTimeout guards against dropping a request that came
// while the host did not run, and with it the idle timeout.
func TestRequestThatHasArrivedIsServedAfterIdleTimeout(t *testing.T) {
	caller, accepted := connect(t)
	send := sync.OnceFunc(func() { _, _ = io.WriteString(caller, "one\n") })
	s := New(Options{Codec: lineCodec{}, Handler: shortIdleHandler{}, Observer: noObserver{}, Log: logrus.New()})
	s.add(&slowConn{TCPConn: accepted, near: lastReadWait, onNear: send})
	got, err := bufio.NewReader(caller).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "one\n", got)
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
