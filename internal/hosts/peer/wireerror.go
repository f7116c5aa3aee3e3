package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// wireError is the encoded form of a *verdict.Error.
type wireError struct {
	Verdict    verdict.Verdict `cbor:"1,keyasint"`
	Reason     verdict.Reason  `cbor:"2,keyasint"`
	Field      string          `cbor:"3,keyasint,omitempty"`
	Message    string          `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"5,keyasint,omitempty"`
}

func encodeError(e *verdict.Error) (cbor.RawMessage, error) {
	return encodePayload(&wireError{e.Verdict, e.Reason, e.Field, e.Message, e.RetryAfter})
}

func decodeError(payload cbor.RawMessage) *verdict.Error {
	var w wireError
	if err := Decode(payload, &w); err != nil {
		return &verdict.Error{Verdict: verdict.Unknown, Reason: verdict.Internal, Message: "the peer's error could not be decoded"}
	}
	return &verdict.Error{Verdict: w.Verdict, Reason: w.Reason, Field: w.Field, Message: w.Message, RetryAfter: bounds.Period(int64(w.RetryAfter), time.Nanosecond)}
}

// transportError returns the error of a call that the transport ends itself. The
// verdict is Unknown if sent, that is, if the call may have left this process or
// reached its handler, and NotRun otherwise.
func transportError(sent bool, reason verdict.Reason, message string) *verdict.Error {
	v := verdict.NotRun
	if sent {
		v = verdict.Unknown
	}
	return &verdict.Error{Verdict: v, Reason: reason, Message: message}
}
