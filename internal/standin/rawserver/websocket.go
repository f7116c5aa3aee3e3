package rawserver

import (
	"bytes"
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

// StartEndlessHead starts a server that accepts WebSocket handshakes in a head without end.
func StartEndlessHead() (*Server, error) {
	answer := func(r *http.Request, _ []byte) ([]byte, bool) {
		return bytes.TrimSuffix(upgrade(r), []byte("\r\n")), true
	}
	return StartEndless(answer, Repeat("A: b\r\n"))
}

// StartEndlessMessage starts a server that accepts WebSocket handshakes and sends one message
// without end, in frames.
func StartEndlessMessage() (*Server, error) {
	part := make([]byte, 1<<14)
	answer := func(r *http.Request, _ []byte) ([]byte, bool) {
		return appendFrame(upgrade(r), binaryFrame, part), true
	}
	return StartEndless(answer, Repeat(string(appendFrame(nil, continuation, part))))
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
