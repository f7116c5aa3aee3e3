package front

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
)

// answerBytes is more than the kernel buffers for a caller that doesn't read.
const answerBytes = 16 << 20

// largeHandler answers each request with answerBytes.
type largeHandler struct{}

func (largeHandler) Limits() (catalog.Limits, bool) { return defaultLimits, true }

func (largeHandler) Serve(*exchange.Request, <-chan struct{}) *exchange.Answer {
	return &exchange.Answer{Status: 200, Body: make([]byte, answerBytes)}
}

// sizedCodec reads a request from one line and answers with the status and the body.
type sizedCodec struct{ lineCodec }

func (sizedCodec) AppendFields(dst []byte, _ *exchange.Answer) []byte { return dst }

func (sizedCodec) AppendAnswer(dst []byte, _ *exchange.Request, a *exchange.Answer) []byte {
	return append(append(dst, byte(a.Status/100)), a.Body...)
}

// limitedServer returns a server with a memory limit and a function that connects to it
// and sends a request.
func limitedServer(t *testing.T, limit int64) (*bytebudget.Budget, func() net.Conn) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	budget := bytebudget.New(bytebudget.Options{Limit: limit})
	s := New(Options{Codec: sizedCodec{}, Handler: largeHandler{}, Observer: noObserver{}, Memory: budget, Log: log})
	go func() { _ = s.Serve(l) }()
	return budget, func() net.Conn {
		raw, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = raw.Close() })
		_, err = io.WriteString(raw, "request\n")
		require.NoError(t, err)
		return raw
	}
}

// TestSlowestCallerIsShedAtMemoryLimit covers callers that do not read their answers, or a
// byte now and then. It guards against a host whose memory they fill, and against one that
// serves nobody else meanwhile.
func TestSlowestCallerIsShedAtMemoryLimit(t *testing.T) {
	const limit = 2*answerBytes + answerBytes/2
	budget, connect := limitedServer(t, limit)
	slow := connect()
	_, err := slow.Read(make([]byte, 1))
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	other := connect()
	require.Eventually(t, func() bool { return budget.Held() > 2*answerBytes }, 5*time.Second, time.Millisecond)
	quick := connect()
	got := make([]byte, answerBytes+1)
	_, err = io.ReadFull(quick, got)
	require.NoError(t, err, "a caller that reads is served")
	require.Equal(t, byte(2), got[0])
	require.LessOrEqual(t, budget.Held(), int64(limit))
	read, err := io.Copy(io.Discard, slow)
	require.Less(t, read, int64(answerBytes), "the slowest gets less than its answer has: %v", err)
	_, err = io.ReadFull(other, got)
	require.NoError(t, err, "the other one is still served")
	require.Eventually(t, func() bool { return budget.Held() == 0 }, 5*time.Second, time.Millisecond)
}

// TestRequestIsRefusedAtMemoryLimit covers a host whose memory is held by what can't be
// shed: a request is refused before it runs, and one that has run is told so.
func TestRequestIsRefusedAtMemoryLimit(t *testing.T) {
	budget, connect := limitedServer(t, answerBytes/2)
	got, err := io.ReadAll(io.LimitReader(connect(), 1))
	require.NoError(t, err)
	require.Equal(t, []byte{5}, got, "the answer exceeds the limit")
	require.Zero(t, withoutRoom(&exchange.Answer{Status: 200}).RetryAfter)
	require.Equal(t, 502, withoutRoom(&exchange.Answer{Status: 200}).Status)
	require.Equal(t, 503, withoutRoom(&exchange.Answer{Status: 503}).Status, "a refusal stays one")

	budget.Hold(answerBytes)
	s := &Server{opts: Options{Memory: budget}}
	c := &conn{server: s, account: budget.NewAccount(nil)}
	require.False(t, c.takeRequest(&exchange.Request{Body: []byte("x")}))
	var malformed *exchange.Malformed
	require.ErrorAs(t, memoryFull(), &malformed)
	require.Equal(t, 503, malformed.Status)
	require.Positive(t, malformed.RetryAfter)
}
