package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Kind tells a message's receiver which handler it is for.
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

// Transport sends messages to other hosts. Its errors are *verdict.Error: the
// verdict is NotRun only if no byte of the message left this process, or the
// receiver refused it before handling it.
type Transport interface {
	// Call sends req and decodes the answer into reply. It gives up when ctx
	// ends and then tells the receiver so.
	Call(ctx context.Context, to model.HostID, kind Kind, req, reply any) error
	// Go is Call without a goroutine of the caller's: done runs exactly once and
	// must not block. The deadline travels as the time that is left.
	Go(to model.HostID, kind Kind, req any, deadline time.Time, done func(reply cbor.RawMessage, err error)) (cancel func())
	// Send sends msg once, with no answer and no guarantee of delivery.
	Send(to model.HostID, kind Kind, msg any) error
}

// Inbound is one received message.
type Inbound struct {
	// Ctx ends when the sender cancels, its deadline passes or the link is lost.
	Ctx      context.Context
	From     model.HostID
	Kind     Kind
	Deadline time.Time
	Payload  cbor.RawMessage
	// Reply answers the message; it may be called once, from any goroutine. It
	// is nil for a message sent without expecting an answer. A reply of type
	// *verdict.Error reaches the sender as that error.
	Reply func(v any)
}

// Handler handles one kind of message. It must not block: long work goes to a
// goroutine of the handler's own.
type Handler func(in *Inbound)

// Registrar is where handlers are registered before the transport starts.
type Registrar interface {
	Handle(kind Kind, h Handler)
}
