package gatherlink

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// frameMode decodes frames. Texts that are no UTF-8 are read, since those of callers and targets
// may hold any bytes that HTTP allows.
var frameMode = mustFrameMode()

func mustFrameMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are valid
	}
	return mode
}

// frameHead is the part of a frame that says which request it is about.
type frameHead struct {
	Kind frameKind `cbor:"1,keyasint"`
	ID   uint64    `cbor:"2,keyasint,omitempty"`
}

// frameError is the error of a frame of which only the head can be decoded. It concerns one request;
// the link can still be used.
type frameError struct {
	frameHead
	cause error
}

// Error implements error.
func (e *frameError) Error() string { return "the frame can't be decoded: " + e.cause.Error() }

// encodeFrame encodes a frame. One that the other host would not read is an error.
func encodeFrame(f *frame) ([]byte, error) {
	raw, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxFrameBytes {
		return nil, fmt.Errorf("the frame has %d bytes, at most %d are allowed", len(raw), maxFrameBytes)
	}
	return raw, nil
}

func unmarshal(raw []byte, into any) (err error) {
	defer panics.Catch(&err)
	return frameMode.Unmarshal(raw, into)
}

// decodeFrame decodes a frame. The error is a *frameError if it concerns only the request that the
// frame is about.
func decodeFrame(raw []byte) (*frame, error) {
	f := &frame{}
	err := unmarshal(raw, f)
	if err == nil {
		return f, nil
	}
	var head frameHead
	if unmarshal(raw, &head) != nil {
		return nil, err
	}
	return nil, &frameError{frameHead: head, cause: err}
}
