package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
)

// readinessInterval is the time between two readiness checks.
const readinessInterval = 100 * time.Millisecond

// Balancer distributes queries round-robin over the hosts that were ready at the
// last readiness check. It resends a query to the next host only if the query could
// not be sent.
type Balancer struct {
	fleet *Fleet
	next  atomic.Uint64
	ready atomic.Pointer[[]string]
}

// NewBalancer returns a balancer that checks the readiness of the fleet's hosts
// until the test ends.
func NewBalancer(tb testing.TB, f *Fleet) *Balancer {
	tb.Helper()
	b := &Balancer{fleet: f}
	b.refresh()
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() {
		ticker := time.NewTicker(readinessInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.refresh()
			case <-ctx.Done():
				return
			}
		}
	})
	tb.Cleanup(func() {
		cancel()
		watch.Wait()
	})
	return b
}

// refresh updates the list of ready hosts. If the list changes, it closes the idle
// connections, as balancers do, so that no query uses a connection that its host
// has closed.
func (b *Balancer) refresh() {
	urls := lo.FilterMap(b.fleet.Hosts, func(h *Host, _ int) (string, bool) { return h.URL(), h.Ready() })
	before := b.ready.Swap(&urls)
	if before != nil && !slices.Equal(*before, urls) {
		b.fleet.HTTP.Close()
	}
}

// Ask sends one query. The error is a *verdict.Error, or the error from Verify if
// the answer is wrong.
func (b *Balancer) Ask(ctx context.Context, body json.RawMessage) (*callerapi.Answer, error) {
	urls := *b.ready.Load()
	if len(urls) == 0 {
		return nil, verdict.Refuse(verdict.HostNotReady, 0, "no host is ready")
	}
	first := int(b.next.Add(1) % uint64(len(urls)))
	client := &callerclient.Client{
		URLs: append(append([]string{}, urls[first:]...), urls[:first]...), Caller: "integration", HTTP: b.fleet.HTTP,
	}
	answer, err := client.Ask(ctx, callerapi.Query{Workload: b.fleet.Shape.Workload, Body: body})
	if err != nil {
		return nil, err
	}
	return answer, b.fleet.Verify(body, answer)
}

// Body returns a query body that is unique for each n.
func Body(n int) json.RawMessage { return fmt.Appendf(nil, `{"form":%d}`, n) }

// Load is a set of concurrent callers, each of which sends queries sequentially.
type Load struct {
	mu       sync.Mutex
	answered int
	partial  int
	failures []error
	stop     context.CancelFunc
	callers  sync.WaitGroup
}

// StartLoad starts callers that send queries until Stop is called or the test ends.
// Each caller waits for its answer and then for pause before it sends the next query.
func (b *Balancer) StartLoad(tb testing.TB, callers int, pause time.Duration) *Load {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{stop: cancel}
	for range callers {
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.count(b.Ask(ctx, Body(n)))
				time.Sleep(pause)
			}
		})
	}
	tb.Cleanup(l.Stop)
	return l
}

func (l *Load) count(answer *callerapi.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.failures = append(l.failures, err)
	case answer.Coverage.Answered < answer.Coverage.Shards:
		l.partial++
	default:
		l.answered++
	}
}

// Stop stops the callers and waits for their outstanding answers.
func (l *Load) Stop() {
	l.stop()
	l.callers.Wait()
}

// Answered returns the number of answers that cover all shards.
func (l *Load) Answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

// Partial returns the number of answers that miss a shard.
func (l *Load) Partial() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partial
}

// Failure returns the errors of all failed queries joined, or nil if none failed.
func (l *Load) Failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.failures...)
}
