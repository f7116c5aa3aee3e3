package gatherlink

import (
	"testing"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestCutMessageIsNoFrame guards against a host that stops within an answer, of which the part
// that arrived reaches the caller.
func TestCutMessageIsNoFrame(t *testing.T) {
	raw, err := cbor.Marshal(&frame{Kind: kindAnswer, ID: 7, Answer: answerOf(&exchange.Answer{Status: 200, Body: []byte("records")})})
	require.NoError(t, err)
	for n := range raw {
		require.Error(t, cbor.Unmarshal(raw[:n], &frame{}), "payload cut after %d bytes", n)
	}
	cut := rawserver.NewCutMessage(raw)
	server, err := rawserver.Start(cut.Answer)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	read := func() error {
		conn, _, err := websocket.DefaultDialer.Dial("ws://"+server.Addr()+Path, nil) //nolint:bodyclose // an upgrade's response has no body
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_, err = readFrame(conn)
		return err
	}
	require.NoError(t, read())
	for n := range cut.Size() {
		cut.After(n)
		require.Error(t, read(), "cut after %d of %d bytes", n, cut.Size())
	}
}
