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
	req := &subquery.Request{}
	if err := cbor.Unmarshal(in.Payload, req); err != nil || req.Target == "" {
		in.Reply(verdict.Refuse(verdict.BadRequest, 0, "the sub-request can't be decoded"))
		return
	}
	req.Deadline = in.Deadline
	cancel := local.Submit(req, func(a *subquery.Answer) { in.Reply(a) })
	context.AfterFunc(in.Ctx, cancel)
}
