package peer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// callSelf passes a call of this host to itself to the handler, without a link.
func (m *Mesh) callSelf(kind Kind, payload cbor.RawMessage, deadline time.Time, done func(cbor.RawMessage, error)) (cancel func()) {
	ctx := &inboundContext{deadline: deadline}
	var once sync.Once
	end := func(reply cbor.RawMessage, err error) {
		once.Do(func() {
			ctx.end(context.Canceled)
			done(reply, err)
		})
	}
	finish := end
	if !deadline.IsZero() {
		// The timer may fire before this function returns, so it uses end, which is not
		// changed any more.
		timer := time.AfterFunc(time.Until(deadline), func() {
			end(nil, transportError(true, verdict.DeadlinePassed, "the deadline passed before this host answered"))
		})
		finish = func(reply cbor.RawMessage, err error) {
			timer.Stop()
			end(reply, err)
		}
	}
	in := &Inbound{Ctx: ctx, From: m.opts.Self, Kind: kind, Deadline: deadline, Payload: payload}
	in.Reply = func(v any) {
		if refused, ok := v.(*verdict.Error); ok {
			finish(nil, refused)
			return
		}
		reply, err := encodePayload(v)
		if err != nil {
			finish(nil, transportError(true, verdict.Internal, err.Error()))
			return
		}
		finish(reply, nil)
	}
	if !m.handle(in) {
		finish(nil, transportError(false, verdict.Internal, "no handler for this kind of message"))
	}
	return func() { finish(nil, transportError(true, verdict.Cancelled, "the call was cancelled")) }
}
