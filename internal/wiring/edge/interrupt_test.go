package edge

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/face/front"
	"github.com/swiftvane/swiftvane/internal/hosts/gatherlink"
)

// lineCodec reads a request from one line and answers with one.
type lineCodec struct{}

func (lineCodec) ReadRequest(from *bufio.Reader, _ func() catalog.Limits, _ func(bool) error) (*exchange.Request, error) {
	line, err := from.ReadString('\n')
	return &exchange.Request{ID: line, Arrived: time.Now()}, err
}

func (lineCodec) AppendFields(dst []byte, _ *exchange.Answer) []byte { return dst }

func (lineCodec) AppendAnswer(dst []byte, _ *exchange.Request, _ *exchange.Answer) []byte {
	return append(dst, "answer\n"...)
}

// withdrawnOnly serves requests until they are withdrawn.
type withdrawnOnly struct{}

func (withdrawnOnly) Limits() (catalog.Limits, bool) { return catalog.Limits{}, false }

func (withdrawnOnly) Serve(_ *exchange.Request, gone <-chan struct{}) *exchange.Answer {
	<-gone
	return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft}
}

type noObserver struct{}

func (noObserver) Answered(*exchange.Request, *exchange.Answer, time.Duration) {}

// TestLateHostStillAnswersRequestsInProgress guards against a process that ends without the
// answers because it came late to the end of its stop.
func TestLateHostStillAnswersRequestsInProgress(t *testing.T) {
	const callers = 20
	log, _ := test.NewNullLogger()
	e := &Edge{
		opts:   Options{Log: log},
		server: front.New(front.Options{Codec: lineCodec{}, Handler: withdrawnOnly{}, Observer: noObserver{}, Log: log}),
		gather: gatherlink.NewServer(nil, nil, nil, log),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = e.server.Serve(l) }()
	for range callers {
		raw, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = raw.Close() })
		_, err = io.WriteString(raw, "request\n")
		require.NoError(t, err)
		go func() { _, _ = io.Copy(io.Discard, raw); _ = raw.Close() }()
	}
	require.Eventually(t, func() bool { return len(e.server.Load().Requests) == callers }, 10*time.Second, time.Millisecond)
	e.interrupt(time.Now(), time.Now().Add(-time.Second))
	require.Empty(t, e.server.Load().Requests, "requests without their answer")
}
