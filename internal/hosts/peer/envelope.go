package peer

import (
	"bytes"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// messageType is the role of an envelope, such as a call or its reply.
type messageType uint8

const (
	typeCall   messageType = 1
	typeReply  messageType = 2
	typeError  messageType = 3
	typeCancel messageType = 4
	typeOneWay messageType = 5
	typePing   messageType = 6
	typePong   messageType = 7
)

// envelope is one message in a frame. A frame is a sequence of envelopes.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type messageType
	// ID matches a reply, error or cancel to its call. It is unique on its link.
	ID   uint64
	Kind Kind
	// LeftMicros is the time left until the deadline, in microseconds. Zero
	// means that there is no deadline.
	LeftMicros int64
	Payload    cbor.RawMessage
}

var errBadFrame = eris.New("peer: malformed frame")

// encMode and decMode encode and decode envelopes and payloads.
var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Limits of a decoded message.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
	maxNesting       = 32
)

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodePayload returns v encoded as CBOR. A cbor.RawMessage is returned as it is.
func encodePayload(v any) (cbor.RawMessage, error) {
	if raw, ok := v.(cbor.RawMessage); ok {
		return raw, nil
	}
	buf := encodeBuffers.Get().(*bytes.Buffer)
	defer recycle(buf)
	if err := encMode.MarshalToBuffer(v, buf); err != nil {
		return nil, eris.Wrap(err, "peer: encode payload")
	}
	return bytes.Clone(buf.Bytes()), nil
}

// encodeBuffers holds scratch buffers of encodePayload.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// recycle returns buf to the pool unless it has grown too large to keep.
func recycle(buf *bytes.Buffer) {
	if buf.Cap() <= maxKeptBufferBytes {
		buf.Reset()
		encodeBuffers.Put(buf)
	}
}

// Decode decodes the payload of a message or reply into v.
func Decode(payload cbor.RawMessage, v any) (err error) {
	defer panics.Catch(&err)
	if err := decMode.Unmarshal(payload, v); err != nil {
		return eris.Wrap(err, "peer: decode payload")
	}
	return nil
}

// appendEnvelope appends e to a frame.
func appendEnvelope(frame *bytes.Buffer, e *envelope) error {
	return encMode.MarshalToBuffer(e, frame)
}

// decodeFrame calls visit for each envelope of frame. Payloads alias frame's
// memory, and the envelope itself is reused for the next one, so visit must not
// keep it. If the frame is malformed, decodeFrame returns an error after visiting
// the envelopes before the malformed one.
func decodeFrame(frame []byte, visit func(*envelope)) error {
	var e envelope
	for len(frame) > 0 {
		e = envelope{}
		rest, err := decodeFirst(frame, &e)
		if err != nil {
			return eris.Wrap(errBadFrame, err.Error())
		}
		if e.Type < typeCall || e.Type > typePong || e.LeftMicros < 0 {
			return errBadFrame
		}
		visit(&e)
		frame = rest
	}
	return nil
}

// decodeFirst decodes the first envelope of a frame and returns the rest of the frame.
func decodeFirst(frame []byte, e *envelope) (rest []byte, err error) {
	defer panics.Catch(&err)
	return decMode.UnmarshalFirst(frame, e)
}

// leftMicros returns the time left until deadline in microseconds. It is at least
// 1, because zero means that there is no deadline.
func leftMicros(deadline, now time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(deadline.Sub(now).Microseconds(), 1)
}
