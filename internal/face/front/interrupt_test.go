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
)

// silentHandler serves requests until they are withdrawn.
type silentHandler struct{ begun chan string }

func (silentHandler) Limits() (catalog.Limits, bool) { return defaultLimits, true }

func (h silentHandler) Serve(r *exchange.Request, gone <-chan struct{}) *exchange.Answer {
	h.begun <- r.ID
	<-gone
	return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
}

// statusObserver passes on the status of each answer.
type statusObserver chan int

func (o statusObserver) Answered(_ *exchange.Request, a *exchange.Answer, _ time.Duration) {
	o <- a.Status
}

// TestInterruptAnswersRequestsInProgressAndRefusesLaterOnes guards against requests whose
// connection ends without an answer when the host does.
func TestInterruptAnswersRequestsInProgressAndRefusesLaterOnes(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := silentHandler{begun: make(chan string, 2)}
	statuses := make(statusObserver, 2)
	s := New(Options{Codec: sizedCodec{}, Handler: h, Observer: statuses, Log: log})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	early, late := dial(t, l), dial(t, l)
	_, err = io.WriteString(early, "early\n")
	require.NoError(t, err)
	require.Equal(t, "early\n", <-h.begun)
	require.Len(t, s.Load().Requests, 1)

	s.Interrupt()
	got, err := io.ReadAll(early)
	require.NoError(t, err)
	require.NotEmpty(t, got)
	require.Equal(t, 504, <-statuses, "it may have run")
	_, err = io.WriteString(late, "late\n")
	require.NoError(t, err)
	got, err = io.ReadAll(late)
	require.NoError(t, err)
	require.NotEmpty(t, got)
	require.Equal(t, 503, <-statuses)
	require.Empty(t, h.begun, "it must not run")
	require.True(t, s.Wait(time.Now().Add(10*time.Second)))
	require.Zero(t, s.Load().Connections)
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return raw
}
