package dispatch

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/peer"
	"github.com/swiftvane/swiftvane/internal/subquery"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// Receive registers the handler that runs other hosts' sub-requests on local.
func Receive(registrar peer.Registrar, local subquery.Dispatcher) {
	registrar.Handle(peer.KindSubquery, func(in *peer.Inbound) { receive(in, local) })
}

func receive(in *peer.Inbound, local subquery.Dispatcher) {
	var w wireRequest
	if err := cbor.Unmarshal(in.Payload, &w); err != nil || w.Request == nil {
		in.Reply(verdict.Refuse(verdict.BadRequest, 0, "the sub-request can't be decoded"))
		return
	}
	w.Request.Deadline = in.Deadline
	cancel := local.Submit(w.Request, func(a *subquery.Answer) { in.Reply(&wireAnswer{Answer: a}) })
	context.AfterFunc(in.Ctx, cancel)
}
