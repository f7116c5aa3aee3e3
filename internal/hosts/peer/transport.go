package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Kind selects the receiver's handler for a message.
type Kind uint8

// The kinds of message.
const (
	KindSubquery       Kind = 1
	KindClaim          Kind = 2
	KindOutcome        Kind = 3
	KindDigest         Kind = 4
	KindConfigPull     Kind = 5
	KindHostList       Kind = 6
	KindQuarantineNote Kind = 7
	KindLeaving        Kind = 8
	KindStatus         Kind = 9
)

// Transport sends messages to hosts. Its errors are *verdict.Error. The verdict is
// NotRun only if no byte of the message left this process or the receiver refused
// the message without running it.
type Transport interface {
	// Call sends req and decodes the answer into reply. If ctx ends first, Call
	// returns an error and cancels the call at the receiver.
	Call(ctx context.Context, to model.HostID, kind Kind, req, reply any) error
	// Go starts a call and returns without waiting for the answer. done runs
	// exactly once, possibly before Go returns, and must not block. The receiver
	// gets the deadline as the time left, so clocks of hosts need not agree.
	Go(to model.HostID, kind Kind, req any, deadline time.Time, done func(reply cbor.RawMessage, err error)) (cancel func())
	// Send sends msg once, with no answer and no guarantee of delivery.
	Send(to model.HostID, kind Kind, msg any) error
}

// Inbound is one received message.
type Inbound struct {
	// Ctx ends when the call is answered or cancelled, its deadline passes or the
	// link is lost. These do not end the Ctx of a message sent with Send.
	Ctx      context.Context
	From     model.HostID
	Kind     Kind
	Deadline time.Time
	Payload  cbor.RawMessage
	// Reply answers the message; it may be called once, from any goroutine. It
	// is nil for a message sent with Send. A reply of type *verdict.Error is
	// returned to the sender as its error.
	Reply func(v any)
}

// Handler handles one kind of message. It runs in the link's reader, so it must not
// block; long work belongs in another goroutine.
type Handler func(in *Inbound)

// Registrar registers handlers before the transport starts.
type Registrar interface {
	Handle(kind Kind, h Handler)
}
