package soak

import (
	"fmt"
	"sync"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// target is one address, at which one searcher runs at a time.
type target struct {
	env     *environment
	service string
	name    string
	proxy   *faultproxy.Proxy

	// lifecycle is held while the searcher is replaced or its entry is written again.
	lifecycle sync.Mutex

	mu      sync.Mutex
	starts  int
	current *searcher.Searcher
	// allSearchers and ids hold every searcher that has run at the address.
	allSearchers []*searcher.Searcher
	ids          []string
}

// start starts a new searcher under a new id.
func (t *target) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	id := fmt.Sprintf("%s-start-%d", t.name, t.starts)
	s, err := t.env.platform.RunSearcher(t.service, id, "127.0.0.1:0")
	require.NoError(t.env.t, err)
	t.env.t.Cleanup(s.Close)
	t.current = s
	t.allSearchers = append(t.allSearchers, s)
	t.ids = append(t.ids, id)
}

func (t *target) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ids[len(t.ids)-1]
}

func (t *target) running() *searcher.Searcher {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

func (t *target) register() {
	require.NoError(t.env.t, t.env.platform.WriteEntry(t.service, t.id(), t.proxy.Addr(), false))
}

// registerAgain writes the entry of the running searcher again.
func (t *target) registerAgain() {
	t.lifecycle.Lock()
	defer t.lifecycle.Unlock()
	t.register()
}

// replace stops the searcher and starts another one at the same address.
func (t *target) replace() {
	t.lifecycle.Lock()
	defer t.lifecycle.Unlock()
	old := t.id()
	t.running().Close()
	t.proxy.Cut()
	t.env.platform.RemoveEntry(old)
	t.start()
	t.proxy.SetServer(t.current.Addr())
	t.register()
}

// allIDs returns the ids of all searchers that have run, by service.
func (e *environment) allIDs() map[string][]string {
	ids := map[string][]string{}
	for _, t := range e.targets {
		t.mu.Lock()
		ids[t.service] = append(ids[t.service], t.ids...)
		t.mu.Unlock()
	}
	return ids
}

// countByRequest sums the counts of all searchers of a service by request id.
func (e *environment) countByRequest(service string, counts func(*searcher.Searcher) map[string]int) map[string]int {
	all := map[string]int{}
	for _, t := range e.targets {
		if t.service != service {
			continue
		}
		t.mu.Lock()
		searchers := t.allSearchers
		t.mu.Unlock()
		for _, s := range searchers {
			for id, n := range counts(s) {
				all[id] += n
			}
		}
	}
	return all
}
