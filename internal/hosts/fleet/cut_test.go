package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// cuts holds which links of a test fleet are cut, by the direction in which they
// are dialed.
type cuts struct {
	mu  sync.Mutex
	cut func(from, to model.HostID) bool
}

func (c *cuts) set(cut func(from, to model.HostID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cuts) isCut(from, to model.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut != nil && c.cut(from, to)
}

// cutTransport wraps a transport and fails requests and messages on cut links.
type cutTransport struct {
	peer.Transport
	self model.HostID
	cuts *cuts
}

func (t *cutTransport) err(to model.HostID) error {
	if t.cuts.isCut(t.self, to) {
		return verdict.Refuse(verdict.OwnerUnreachable, 0, "the link is cut")
	}
	return nil
}

func (t *cutTransport) Call(ctx context.Context, to model.HostID, kind peer.Kind, req, reply any) error {
	if err := t.err(to); err != nil {
		return err
	}
	return t.Transport.Call(ctx, to, kind, req, reply)
}

func (t *cutTransport) Go(to model.HostID, kind peer.Kind, req any, deadline time.Time, done func(cbor.RawMessage, error)) func() {
	if err := t.err(to); err != nil {
		done(nil, err)
		return func() {}
	}
	return t.Transport.Go(to, kind, req, deadline, done)
}

func (t *cutTransport) Send(to model.HostID, kind peer.Kind, msg any) error {
	if err := t.err(to); err != nil {
		return err
	}
	return t.Transport.Send(to, kind, msg)
}
