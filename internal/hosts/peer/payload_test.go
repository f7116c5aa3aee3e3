package peer

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// TestPayloadThatCannotBeDecodedCostsNoOtherMessage guards against one payload with a text that is no
// UTF-8, or of another type, that ends the link for all calls on it.
func TestPayloadThatCannotBeDecodedCostsNoOtherMessage(t *testing.T) {
	var frame bytes.Buffer
	for id, payload := range []any{"\xe9\xff", 7, map[string]string{"\xff": "\xff"}, "sound"} {
		raw, err := cbor.Marshal(payload)
		require.NoError(t, err)
		require.NoError(t, appendEnvelope(&frame, &envelope{Type: typeReply, ID: uint64(id), Payload: raw}))
	}
	decoded := map[uint64]string{}
	require.NoError(t, decodeFrame(frame.Bytes(), func(e *envelope) {
		var text string
		if Decode(e.Payload, &text) == nil {
			decoded[e.ID] = text
		}
	}))
	require.Equal(t, map[uint64]string{3: "sound"}, decoded)
}
