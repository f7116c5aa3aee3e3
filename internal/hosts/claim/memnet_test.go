package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// memnet delivers messages between hosts within one process and injects loss,
// delay and partitions.
type memnet struct {
	mu       sync.Mutex
	rng      *rand.Rand
	hosts    map[model.HostID]*memhost
	cut      map[[2]model.HostID]bool
	frozen   map[model.HostID]chan struct{}
	loss     float64
	maxDelay time.Duration
	pending  sync.WaitGroup
}

// memhost is the endpoint of one process in a memnet.
type memhost struct {
	net      *memnet
	id       model.HostID
	handlers map[peer.Kind]peer.Handler
}

func newMemnet(seed uint64) *memnet {
	return &memnet{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		hosts:  make(map[model.HostID]*memhost),
		cut:    make(map[[2]model.HostID]bool),
		frozen: make(map[model.HostID]chan struct{}),
	}
}

// endpoint returns an endpoint for a process, which receives no messages until it
// joins.
func (n *memnet) endpoint(id model.HostID) *memhost {
	return &memhost{net: n, id: id, handlers: make(map[peer.Kind]peer.Handler)}
}

// join adds an endpoint under the id of its host and replaces an earlier one.
func (n *memnet) join(h *memhost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.id] = h
}

func (n *memnet) kill(id model.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
}

// partition cuts or restores the links between two groups.
func (n *memnet) partition(a, b []model.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			n.cut[[2]model.HostID{x, y}] = cut
			n.cut[[2]model.HostID{y, x}] = cut
		}
	}
}

// deliver runs f on the host to after a random delay, unless the message is lost
// or the host has crashed by then. It returns false, and sends nothing, if the
// host does not exist or the link is cut.
func (n *memnet) deliver(from, to model.HostID, f func(*memhost)) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts[to] == nil || n.cut[[2]model.HostID{from, to}] {
		return false
	}
	if n.loss > 0 && n.rng.Float64() < n.loss {
		return true
	}
	var delay time.Duration
	if n.maxDelay > 0 {
		delay = time.Duration(n.rng.Int64N(int64(n.maxDelay)))
	}
	n.pending.Add(1)
	go func() {
		defer n.pending.Done()
		time.Sleep(delay)
		n.mu.Lock()
		target, frozen := n.hosts[to], n.frozen[to]
		n.mu.Unlock()
		if frozen != nil {
			<-frozen
		}
		if target != nil {
			f(target)
		}
	}()
	return true
}

func (h *memhost) Handle(kind peer.Kind, handler peer.Handler) { h.handlers[kind] = handler }

func (h *memhost) Call(ctx context.Context, to model.HostID, kind peer.Kind, req, reply any) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Minute)
	}
	errs := make(chan error, 1)
	h.Go(to, kind, req, deadline, func(raw cbor.RawMessage, err error) {
		if err == nil {
			err = cbor.Unmarshal(raw, reply)
		}
		errs <- err
	})
	return <-errs
}

func (h *memhost) Go(to model.HostID, kind peer.Kind, req any, deadline time.Time, done func(cbor.RawMessage, error)) func() {
	payload, err := cbor.Marshal(req)
	if err != nil {
		panic(err)
	}
	var once sync.Once
	finish := func(raw cbor.RawMessage, err error) { once.Do(func() { done(raw, err) }) }
	unreachable := verdict.Refuse(verdict.OwnerUnreachable, time.Second, "cut")
	timer := time.AfterFunc(time.Until(deadline), func() {
		finish(nil, &verdict.Error{Verdict: verdict.Unknown, Reason: verdict.DeadlinePassed})
	})
	sent := h.net.deliver(h.id, to, func(target *memhost) {
		target.handlers[kind](&peer.Inbound{
			Ctx: context.Background(), From: h.id, Kind: kind, Deadline: deadline, Payload: payload,
			Reply: func(v any) {
				raw, err := cbor.Marshal(v)
				if err != nil {
					panic(err)
				}
				h.net.deliver(target.id, h.id, func(back *memhost) {
					if back != h {
						return // the process that sent the request has ended
					}
					timer.Stop()
					if e, ok := v.(*verdict.Error); ok {
						finish(nil, e)
						return
					}
					finish(raw, nil)
				})
			},
		})
	})
	if !sent {
		timer.Stop()
		finish(nil, unreachable)
	}
	return func() {}
}

func (h *memhost) Send(to model.HostID, kind peer.Kind, msg any) error {
	payload, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	h.net.deliver(h.id, to, func(target *memhost) {
		target.handlers[kind](&peer.Inbound{Ctx: context.Background(), From: h.id, Kind: kind, Payload: payload})
	})
	return nil
}
