package dispatch

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
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
	w := &received{in: in}
	cancel := local.Submit(req, w.answer)
	w.cancelWith(cancel)
}

// received is a sub-request of another host. It is cancelled when its sender
// cancels it, unless it was answered before.
type received struct {
	in *peer.Inbound

	mu       sync.Mutex
	answered bool
	unwatch  func() bool
}

// answer replies to the sender.
func (r *received) answer(a *subquery.Answer) {
	r.mu.Lock()
	r.answered = true
	unwatch := r.unwatch
	r.mu.Unlock()
	if unwatch != nil {
		unwatch()
	}
	r.in.Reply(a)
}

// cancelWith calls cancel once the sender gives the sub-request up.
func (r *received) cancelWith(cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answered {
		r.unwatch = context.AfterFunc(r.in.Ctx, cancel)
	}
}
