package gatherlink

import (
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// pausedConn is a connection of a host that does not run from when it sets a read deadline until
// that has passed. Meanwhile the answer is sent.
type pausedConn struct {
	net.Conn
	sent <-chan struct{}
}

func (c pausedConn) SetReadDeadline(at time.Time) error {
	<-c.sent
	time.Sleep(time.Until(at))
	return c.Conn.SetReadDeadline(at)
}

// TestAnswerThatArrivedWhileHostDidNotRunIsRead guards against a link that ends for its silence
// although the gatherer's answer has arrived.
func TestAnswerThatArrivedWhileHostDidNotRunIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var upgrader websocket.FastHTTPUpgrader
	dialed, sent := make(chan struct{}), make(chan struct{})
	answer := func(conn *websocket.Conn) {
		<-dialed // the reader of the handshake must not read the answer
		_ = (&frameWriter{conn: conn}).write(&frame{Kind: kindAnswer, ID: 1, Answer: answerOf(&exchange.Answer{Status: 200})})
		close(sent)
		_, _ = readFrame(conn)
	}
	go func() { _ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) { _ = upgrader.Upgrade(ctx, answer) }) }()
	dialer := websocket.Dialer{NetDial: func(network, addr string) (net.Conn, error) {
		raw, err := net.Dial(network, addr)
		return pausedConn{Conn: raw, sent: sent}, err
	}}
	conn, _, err := dialer.Dial("ws://"+l.Addr().String()+Path, nil) //nolint:bodyclose // an upgrade's response has no body
	require.NoError(t, err)
	close(dialed)
	log, _ := test.NewNullLogger()
	outcomes := make(chan outcome, 1)
	paused := &link{frameWriter: frameWriter{conn: conn}, log: log, pending: map[uint64]chan outcome{1: outcomes}}
	go paused.read()
	got := <-outcomes
	require.NoError(t, got.err)
	require.Equal(t, kindAnswer, got.kind)
}
