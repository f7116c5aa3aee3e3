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

// serveFrames runs a gatherer that accepts one sweep on each link and then sends a message.
func serveFrames(t *testing.T, message func(sweep uint64) []byte) gathering.Member {
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
		_ = conn.WriteMessage(websocket.BinaryMessage, message(f.ID))
		_, _ = readFrame(conn)
	}
	go func() { _ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) { _ = upgrader.Upgrade(ctx, handle) }) }()
	return gathering.Member{Addr: l.Addr().String()}
}

// TestTruncatedAnswerOfGathererIsNoSuccess guards against an answer that ends midway and
// reaches the caller as a complete one.
func TestTruncatedAnswerOfGathererIsNoSuccess(t *testing.T) {
	c := newClient(t, serveFrames(t, func(sweep uint64) []byte {
		raw := marshalFrame(t, &frame{Kind: kindAnswer, ID: sweep, Answer: answerOf(&exchange.Answer{Status: 200, Body: []byte("records")})})
		return raw[:len(raw)-1]
	}))
	a := c.Sweep(request("r-1"), route(), func() bool { return false }, nil)
	require.Equal(t, 502, a.Status)
	require.Empty(t, a.Body)
}

// TestUnknownFrameOfGathererIsNoRefusal guards against a sweep that runs again on this host
// although the gatherer had accepted it and did not refuse it.
func TestUnknownFrameOfGathererIsNoRefusal(t *testing.T) {
	for name, f := range map[string]frame{"unknown kind": {Kind: kindAnswer + 1}, "no content": {Kind: kindAnswer}} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, serveFrames(t, func(sweep uint64) []byte {
				f.ID = sweep
				return marshalFrame(t, &f)
			}))
			a := c.Sweep(request("r-1"), route(), func() bool { return false }, nil)
			require.NotNil(t, a, "the sweep was taken for refused")
			require.Equal(t, 502, a.Status)
		})
	}
}

func marshalFrame(t *testing.T, f *frame) []byte {
	t.Helper()
	raw, err := cbor.Marshal(f)
	require.NoError(t, err)
	return raw
}
