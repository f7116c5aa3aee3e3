package front

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// lineCodec reads a request from one line and answers with its id.
type lineCodec struct{}

func (lineCodec) ReadRequest(from *bufio.Reader, _ func() catalog.Limits, _ func(bool) error) (*exchange.Request, error) {
	line, err := from.ReadString('\n')
	return &exchange.Request{ID: line, Arrived: time.Now()}, err
}

func (lineCodec) AppendFields(dst []byte, _ *exchange.Answer) []byte { return dst }

func (lineCodec) AppendAnswer(dst []byte, r *exchange.Request, _ *exchange.Answer) []byte {
	return append(dst, r.ID...)
}

// emptyHandler answers each request at once.
type emptyHandler struct{}

func (emptyHandler) Limits() (catalog.Limits, bool) { return defaultLimits, true }

func (emptyHandler) Serve(*exchange.Request, <-chan struct{}) *exchange.Answer {
	return &exchange.Answer{Status: 200}
}

type noObserver struct{}

func (noObserver) Answered(*exchange.Request, *exchange.Answer, time.Duration) {}

// drainedServer returns a draining server and the address of its listener.
func drainedServer(t *testing.T) (*Server, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(Options{Codec: lineCodec{}, Handler: emptyHandler{}, Observer: noObserver{}, Log: log})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	s.Drain()
	return s, l.Addr().String()
}

// waitIdle waits until the server's only connection waits for a request.
func waitIdle(t *testing.T, s *Server) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			idle := c.idle
			c.mu.Unlock()
			return idle
		}
		return false
	}, time.Second, time.Millisecond)
}

// TestNewConnectionIsNotClosedBeforeItsFirstRequest guards against a stop that treats
// a connection that was just accepted as idle and drops the request on its way.
func TestNewConnectionIsNotClosedBeforeItsFirstRequest(t *testing.T) {
	s, addr := drainedServer(t)
	raw, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	waitIdle(t, s)
	s.CloseIdle()
	time.Sleep(20 * time.Millisecond)
	s.CloseIdle()
	_, err = io.WriteString(raw, "first\n")
	require.NoError(t, err)
	got, err := io.ReadAll(raw)
	require.NoError(t, err)
	require.Equal(t, "first\n", string(got))
	require.True(t, s.Wait(time.Now().Add(time.Second)))
}

// TestNewConnectionWithoutRequestIsClosed guards against a stop that waits without end
// for the first request of a connection.
func TestNewConnectionWithoutRequestIsClosed(t *testing.T) {
	s, addr := drainedServer(t)
	raw, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	waitIdle(t, s)
	s.CloseIdle()
	got, err := io.ReadAll(raw)
	require.NoError(t, err)
	require.Empty(t, got)
	require.True(t, s.Wait(time.Now().Add(time.Second)))
}

// TestBufferedRequestIsServedWhileIdleConnectionsClose guards against dropping a request
// that the kernel has received when its connection is about to be closed as idle.
func TestBufferedRequestIsServedWhileIdleConnectionsClose(t *testing.T) {
	s, addr := drainedServer(t)
	s.draining.Store(false)
	raw, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	_, err = io.WriteString(raw, "one\n")
	require.NoError(t, err)
	reader := bufio.NewReader(raw)
	got, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "one\n", got)
	waitIdle(t, s)
	s.Drain()
	s.mu.Lock()
	var c *conn
	for c = range s.conns {
	}
	s.mu.Unlock()
	// The reader is interrupted first; it must look once more for what has arrived.
	_, err = io.WriteString(raw, "two\n")
	require.NoError(t, err)
	c.closeIfIdle()
	got, err = reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "two\n", got)
}

// gatedHandler answers each request once the gate is closed.
type gatedHandler struct{ gate chan struct{} }

func (gatedHandler) Limits() (catalog.Limits, bool) { return defaultLimits, true }

func (h gatedHandler) Serve(*exchange.Request, <-chan struct{}) *exchange.Answer {
	<-h.gate
	return &exchange.Answer{Status: 200}
}

// TestPipelinedRequestIsServedWhileDraining guards against a connection that closes after an
// answer although the next request has been read from it.
func TestPipelinedRequestIsServedWhileDraining(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	h := gatedHandler{gate: make(chan struct{})}
	s := New(Options{Codec: lineCodec{}, Handler: h, Observer: noObserver{}, Log: log})
	go func() { _ = s.Serve(l) }()
	raw := dial(t, l)
	_, err = io.WriteString(raw, "one\ntwo\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(s.Load().Requests) == 1 }, 10*time.Second, time.Millisecond)
	s.Drain()
	close(h.gate)
	got, err := io.ReadAll(raw)
	require.NoError(t, err)
	require.Equal(t, "one\ntwo\n", string(got))
}
