package target

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	wire "github.com/swiftvane/swiftvane/internal/targets/target"
)

// handle serves one request of the target protocol.
func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	t.waitWhileFrozen(ctx)
	switch string(ctx.Path()) {
	case wire.PathSearch:
		t.handleSearch(ctx)
	case wire.PathCancel:
		t.handleCancel(ctx)
	case wire.PathLoad:
		t.reply(ctx, t.reportedLoad())
	case wire.PathHealth:
		t.handleHealth(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// waitWhileFrozen waits until the target is no longer frozen or has closed the
// connection.
func (t *Target) waitWhileFrozen(ctx *fasthttp.RequestCtx) {
	closed := connClosed(ctx)
	for {
		state := t.faults.Load()
		if !state.Frozen {
			return
		}
		select {
		case <-state.replaced:
		case <-closed:
			return
		}
	}
}

// connClosed returns a channel that is closed when the target closes the
// request's connection.
func connClosed(ctx *fasthttp.RequestCtx) <-chan struct{} {
	if c, ok := ctx.Conn().(*conn); ok {
		return c.closed
	}
	return nil
}

// handleSearch runs a list of exchanges and sends their answers.
func (t *Target) handleSearch(ctx *fasthttp.RequestCtx) {
	var items []wire.SearchItem
	if err := wire.Decode(ctx.PostBody(), &items); err != nil || len(items) == 0 {
		ctx.Error("body is not a list of exchanges", fasthttp.StatusBadRequest)
		return
	}
	received := time.Now()
	answers := make([]wire.AnswerItem, len(items))
	if len(items) == 1 || t.Faults().LatencyMedianUS == 0 {
		for i := range items {
			answers[i] = t.run(&items[i], received)
		}
	} else {
		var group sync.WaitGroup
		for i := range items {
			group.Go(func() { answers[i] = t.run(&items[i], received) })
		}
		group.Wait()
	}
	t.waitWhileFrozen(ctx)
	t.sendAnswers(ctx, answers)
}

// handleCancel cancels the exchanges whose ids the body lists.
func (t *Target) handleCancel(ctx *fasthttp.RequestCtx) {
	var ids []uint64
	if err := wire.Decode(ctx.PostBody(), &ids); err != nil {
		ctx.Error("body is not a list of exchange ids", fasthttp.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if cancel := t.cancels[id]; cancel != nil {
			cancel()
		}
	}
}

// track registers an exchange for cancellation until done is called.
func (t *Target) track(id uint64) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[id] = cancel
	return ctx, func() {
		cancel()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cancels, id)
	}
}

// handleHealth serves the health endpoint. The Health fault overrides the true
// state.
func (t *Target) handleHealth(ctx *fasthttp.RequestCtx) {
	healthy := !t.Faults().Leaving
	switch t.Faults().Health {
	case AlwaysHealthy:
		healthy = true
	case AlwaysUnhealthy:
		healthy = false
	}
	if !healthy {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	body, _ := json.Marshal(map[string]bool{"healthy": healthy})
	ctx.SetBody(body)
}
