package gatherlink

import (
	"net"
	"testing"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// serveTruncated runs a gatherer that accepts each sweep and sends its answer without the
// last bytes.
func serveTruncated(t *testing.T) gathering.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var upgrader websocket.FastHTTPUpgrader
	handle := func(conn *websocket.Conn) {
		w := &frameWriter{conn: conn}
		if w.write(&frame{Kind: kindHeartbeat, ClockUS: 1}) != nil {
			return
		}
		f, err := readFrame(conn)
		if err != nil {
			return
		}
		_ = w.write(&frame{Kind: kindAccepted, ID: f.ID})
		raw, err := cbor.Marshal(&frame{Kind: kindAnswer, ID: f.ID, Answer: answerOf(&exchange.Answer{Status: 200, Body: []byte("records")})})
		if err == nil {
			_ = conn.WriteMessage(websocket.BinaryMessage, raw[:len(raw)-1])
		}
		_, _ = readFrame(conn)
	}
	go func() { _ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) { _ = upgrader.Upgrade(ctx, handle) }) }()
	return gathering.Member{Addr: l.Addr().String()}
}

// TestTruncatedAnswerOfGathererIsNoSuccess guards against an answer that ends midway and
// reaches the caller as a complete one.
func TestTruncatedAnswerOfGathererIsNoSuccess(t *testing.T) {
	c := newClient(t, serveTruncated(t))
	a := c.Sweep(request("r-1"), route(), func() bool { return false }, nil)
	require.Equal(t, 502, a.Status)
	require.Empty(t, a.Body)
}
