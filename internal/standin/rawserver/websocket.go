package rawserver

import (
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/http"
)

// acceptSuffix is the constant that a WebSocket handshake appends to the client's key.
const acceptSuffix = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// Bits and codes of the header of a WebSocket frame.
const (
	finalFrame   = 0x80
	binaryFrame  = 0x02
	continuation = 0x00
	longLength   = 126
)

// NewCutMessage returns a Cut of a reply that accepts a WebSocket handshake, followed by a message
// in two frames.
func NewCutMessage(payload []byte) *Cut {
	half := len(payload) / 2
	frames := appendFrame(nil, binaryFrame, payload[:half])
	frames = appendFrame(frames, finalFrame|continuation, payload[half:])
	return NewCut(func(r *http.Request, _ []byte) []byte { return append(upgrade(r), frames...) })
}

// upgrade returns the reply that accepts a WebSocket handshake.
func upgrade(r *http.Request) []byte {
	sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + acceptSuffix))
	return fmt.Appendf(nil, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\n\r\n",
		base64.StdEncoding.EncodeToString(sum[:]))
}

// appendFrame appends a frame whose payload has at most 64 KiB.
func appendFrame(dst []byte, first byte, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint16(append(dst, first, longLength), uint16(len(payload)))
	return append(dst, payload...)
}
