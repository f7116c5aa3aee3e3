package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/platform"
)

// memPlatform is an in-memory platform.Client without I/O.
type memPlatform struct {
	mu   sync.Mutex
	doc  *config.Document
	list *model.HostList
	// changed is closed and replaced whenever the document changes.
	changed chan struct{}
}

var _ platform.Client = (*memPlatform)(nil)

func newMemPlatform(doc *config.Document, list *model.HostList) *memPlatform {
	return &memPlatform{doc: doc, list: list, changed: make(chan struct{})}
}

// publish replaces the document and wakes waiting readers.
func (p *memPlatform) publish(doc *config.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doc = doc
	close(p.changed)
	p.changed = make(chan struct{})
}

// Document implements platform.Client.
func (p *memPlatform) Document(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error) {
	p.await(ctx, wait, func() bool { return p.doc.Revision != after })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.doc, ctx.Err()
}

// HostList implements platform.Client.
func (p *memPlatform) HostList(ctx context.Context, after model.Revision, wait time.Duration) (*model.HostList, error) {
	p.await(ctx, wait, func() bool { return p.list.Revision != after })
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, ctx.Err()
}

// await returns once fresh returns true, wait has passed or ctx ends. It calls
// fresh with mu held.
func (p *memPlatform) await(ctx context.Context, wait time.Duration, fresh func() bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		ready, changed := fresh(), p.changed
		p.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
