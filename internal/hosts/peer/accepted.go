package peer

import (
	"context"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// acceptedLink is a link that a peer dialed, with the calls in flight on it.
type acceptedLink struct {
	mesh *Mesh
	from model.HostID
	link *link

	mu       sync.Mutex
	inflight map[uint64]*inboundContext
}

// receive handles one envelope from the peer.
func (a *acceptedLink) receive(e *envelope) {
	a.mesh.counters.messagesReceived.Inc(1)
	switch e.Type {
	case typeCall:
		a.receiveCall(e)
	case typeOneWay:
		a.mesh.handle(&Inbound{Ctx: context.Background(), From: a.from, Kind: e.Kind, Payload: e.Payload})
	case typeCancel:
		if ctx := a.remove(e.ID); ctx != nil {
			ctx.end(context.Canceled)
		}
	case typePing:
		a.push(envelope{Type: typePong})
	}
}

func (a *acceptedLink) receiveCall(e *envelope) {
	ctx := &inboundContext{}
	if e.LeftMicros > 0 {
		ctx.deadline = time.Now().Add(bounds.Period(e.LeftMicros, time.Microsecond))
	}
	if !a.add(e.ID, ctx) {
		a.refuse(e.ID, verdict.HostOverloaded, "too many calls in flight on this link")
		return
	}
	id := e.ID
	in := &Inbound{Ctx: ctx, From: a.from, Kind: e.Kind, Deadline: ctx.deadline, Payload: e.Payload}
	in.Reply = func(v any) { a.reply(id, v) }
	if !a.mesh.handle(in) {
		in.Reply(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Internal, Message: "no handler for this kind of message"})
	}
}

// add records a call in flight. It returns false if the limit is reached.
func (a *acceptedLink) add(id uint64, ctx *inboundContext) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.inflight) >= a.mesh.opts.QueueMessages {
		return false
	}
	a.inflight[id] = ctx
	return true
}

func (a *acceptedLink) remove(id uint64) *inboundContext {
	a.mu.Lock()
	defer a.mu.Unlock()
	ctx := a.inflight[id]
	delete(a.inflight, id)
	return ctx
}

// reply sends the answer to a call, unless the call was cancelled or answered.
func (a *acceptedLink) reply(id uint64, v any) {
	ctx := a.remove(id)
	if ctx == nil {
		return
	}
	ctx.end(context.Canceled)
	e := envelope{Type: typeReply, ID: id}
	var err error
	if refused, ok := v.(*verdict.Error); ok {
		e.Type = typeError
		e.Payload, err = encodeError(refused)
	} else {
		e.Payload, err = encodePayload(v)
	}
	if err != nil {
		a.mesh.opts.Log.WithError(err).Error("peer: a reply could not be encoded")
		e.Type = typeError
		e.Payload, _ = encodeError(&verdict.Error{Verdict: verdict.Unknown, Reason: verdict.Internal, Message: "the reply could not be encoded"})
	}
	a.push(e)
}

// refuse sends a NotRun error to a call that was not added.
func (a *acceptedLink) refuse(id uint64, reason verdict.Reason, message string) {
	payload, err := encodeError(&verdict.Error{Verdict: verdict.NotRun, Reason: reason, Message: message})
	if err == nil {
		a.push(envelope{Type: typeError, ID: id, Payload: payload})
	}
}

// push queues an envelope for the writer, and counts it as dropped if the queue is
// full or closed.
func (a *acceptedLink) push(e envelope) {
	if !a.link.outbox.push(outMessage{envelope: e}) {
		a.mesh.counters.repliesDropped.Inc(1)
	}
}

// end cancels all calls in flight.
func (a *acceptedLink) end() {
	a.mu.Lock()
	inflight := a.inflight
	a.inflight = make(map[uint64]*inboundContext)
	a.mu.Unlock()
	for _, ctx := range inflight {
		ctx.end(context.Canceled)
	}
}

// acceptedIdlePings is the number of IdlePing intervals without a frame after which
// an accepted link is closed.
const acceptedIdlePings = 3

// watch closes the link when no frame has arrived from the dialer for too long.
func (a *acceptedLink) watch() {
	tick := time.NewTicker(a.mesh.opts.IdlePing)
	defer tick.Stop()
	for {
		select {
		case <-a.link.closed:
			return
		case <-tick.C:
			if a.link.silentFor(time.Now()) >= acceptedIdlePings*a.mesh.opts.IdlePing {
				a.mesh.counters.silentLinks.Inc(1)
				a.link.close()
			}
		}
	}
}

// replyOutboxFactor is the size of a reply queue in multiples of QueueMessages. It
// leaves room for refusals besides the replies to the calls in flight.
const replyOutboxFactor = 2
