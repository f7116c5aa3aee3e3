package fleet

import (
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// registerHandlers registers the handlers of the messages that peers send.
func (f *Fleet) registerHandlers() {
	r := f.opts.Registrar
	r.Handle(peer.KindDigest, f.handleDigest)
	r.Handle(peer.KindConfigPull, func(in *peer.Inbound) { f.handleContent(configDocument, in) })
	r.Handle(peer.KindHostList, func(in *peer.Inbound) { f.handleContent(hostListDocument, in) })
	r.Handle(peer.KindLeaving, f.handleMarks)
	r.Handle(peer.KindStatus, f.handleStatus)
}

// decode decodes a message into v. It logs a malformed message, refuses it if it
// is a request, and returns false.
func (f *Fleet) decode(in *peer.Inbound, v any) bool {
	err := peer.Decode(in.Payload, v)
	if err == nil {
		return true
	}
	f.opts.Log.WithError(err).WithField("peer", string(in.From)).Warn("malformed message dropped")
	if in.Reply != nil {
		in.Reply(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: err.Error()})
	}
	return false
}

func (f *Fleet) handleDigest(in *peer.Inbound) {
	e := digestReceived{from: in.From, oneWay: in.Reply == nil}
	if !f.decode(in, &e.msg) {
		return
	}
	if in.Reply != nil {
		reply := f.current.Load().digest()
		reply.ListConfirmedAgoMS = f.listConfirmedAgo()
		in.Reply(&reply)
	}
	f.post(e)
}

// handleContent answers a pull, or posts the content of a push.
func (f *Fleet) handleContent(kind documentKind, in *peer.Inbound) {
	if in.Reply == nil {
		e := contentReceived{kind: kind, from: in.From}
		if f.decode(in, &e.reply) {
			f.post(e)
		}
		return
	}
	var req pullRequest
	if !f.decode(in, &req) {
		return
	}
	select {
	case f.pullSlots <- struct{}{}:
	default:
		in.Reply(verdict.Refuse(verdict.HostOverloaded, f.opts.GossipInterval, "%d pulls are being answered", maxConcurrentPulls))
		return
	}
	now := f.opts.Clock()
	state := f.current.Load()
	go func() {
		defer func() { <-f.pullSlots }()
		if req.History {
			in.Reply(&pullReply{History: state.history.record(now)})
			return
		}
		document := state.documents[kind]
		in.Reply(document.since(req.Have))
	}()
}

func (f *Fleet) handleMarks(in *peer.Inbound) {
	var msg marksMessage
	if !f.decode(in, &msg) {
		return
	}
	if in.Reply != nil {
		in.Reply(f.current.Load().marksMessage(f.opts.Clock()))
	}
	f.post(marksReceived{marks: msg.Marks})
}

func (f *Fleet) handleStatus(in *peer.Inbound) {
	if in.Reply != nil {
		f.post(statusRequested{answer: func(s *Status) { in.Reply(s) }})
	}
}
