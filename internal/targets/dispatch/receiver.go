package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/decision/drain"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// Receiver runs sub-requests from other hosts on this host's targets.
type Receiver struct {
	local subquery.Dispatcher
	// schedule is that of the stop, nil before it.
	schedule atomic.Pointer[drain.Schedule]
}

// RegisterHandler registers the handler that runs sub-requests from other hosts on
// local, and returns it.
func RegisterHandler(registrar peer.Registrar, local subquery.Dispatcher) *Receiver {
	r := &Receiver{local: local}
	registrar.Handle(peer.KindSubquery, r.receive)
	return r
}

// Drain refuses sub-requests whose deadlines don't fit the schedule of the stop; their
// senders route them to the standby. A further call replaces the schedule.
func (r *Receiver) Drain(schedule *drain.Schedule) { r.schedule.Store(schedule) }

func (r *Receiver) receive(in *peer.Inbound) {
	req := &subquery.Request{}
	if err := cbor.Unmarshal(in.Payload, req); err != nil || req.Target == "" {
		in.Reply(verdict.Refuse(verdict.BadRequest, 0, "the sub-request can't be decoded"))
		return
	}
	if !r.schedule.Load().Fits(in.Deadline) {
		in.Reply(notRunAnswer(verdict.HostStopping, 0))
		return
	}
	req.Deadline = in.Deadline
	w := &received{in: in}
	cancel := r.local.Submit(req, w.answer)
	w.cancelOnSenderDone(cancel)
}

// received is a sub-request from another host. It is cancelled when its inbound
// context ends, unless it is already answered.
type received struct {
	in *peer.Inbound

	mu       sync.Mutex
	answered bool
	// stopWatch cancels the watch of the inbound context, nil before it is set.
	stopWatch func() bool
}

// answer replies to the sender.
func (r *received) answer(a *subquery.Answer) {
	r.mu.Lock()
	r.answered = true
	stopWatch := r.stopWatch
	r.mu.Unlock()
	if stopWatch != nil {
		stopWatch()
	}
	r.in.Reply(a)
}

// cancelOnSenderDone arranges for cancel to be called when the inbound context
// ends, unless the sub-request is already answered.
func (r *received) cancelOnSenderDone(cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answered {
		r.stopWatch = context.AfterFunc(r.in.Ctx, cancel)
	}
}
