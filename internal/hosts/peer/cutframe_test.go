package peer

import (
	"bytes"
	"testing"

	"github.com/fasthttp/websocket"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestCutFrameHasNoEnvelopes guards against a peer that stops within a frame, of which the
// envelopes or payloads that arrived count as complete.
func TestCutFrameHasNoEnvelopes(t *testing.T) {
	payload, err := encodePayload(&message{"text"})
	require.NoError(t, err)
	for n := range payload {
		require.Error(t, Decode(payload[:n], &message{}), "payload cut after %d bytes", n)
	}
	var frame bytes.Buffer
	for id := range uint64(2) {
		require.NoError(t, appendEnvelope(&frame, &envelope{Type: typeReply, ID: id, Payload: payload}))
	}
	cut := rawserver.NewCutMessage(frame.Bytes())
	server, err := rawserver.Start(cut.Answer)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	visits := func() (visited int) {
		conn, _, err := websocket.DefaultDialer.Dial("ws://"+server.Addr()+linkPath, nil) //nolint:bodyclose // an upgrade's response has no body
		if err != nil {
			return 0
		}
		l := newLink(conn, &Options{MaxFrameBytes: 1 << 20}, newCounters(tally.NewTestScope("", nil)), nil)
		defer l.close()
		require.Error(t, l.read(func(*envelope) { visited++ }))
		return visited
	}
	require.Equal(t, 2, visits())
	for n := range cut.Size() {
		cut.After(n)
		require.Zero(t, visits(), "cut after %d of %d bytes", n, cut.Size())
	}
}
