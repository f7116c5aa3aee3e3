package soak

import (
	"fmt"
	"sync"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// target is one address at which searchers run one after the other.
type target struct {
	world   *world
	service string
	name    string
	proxy   *faultproxy.Proxy

	mu      sync.Mutex
	starts  int
	current *searcher.Searcher
	// all has each searcher that ever ran there.
	all []*searcher.Searcher
	ids []string
}

// start runs a new searcher.
func (t *target) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	id := fmt.Sprintf("%s-start-%d", t.name, t.starts)
	s, err := t.world.platform.RunSearcher(t.service, id, "127.0.0.1:0")
	require.NoError(t.world.t, err)
	t.world.t.Cleanup(s.Close)
	t.current = s
	t.all = append(t.all, s)
	t.ids = append(t.ids, id)
}

func (t *target) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ids[len(t.ids)-1]
}

func (t *target) register() {
	require.NoError(t.world.t, t.world.platform.WriteEntry(t.service, t.id(), t.proxy.Addr(), false))
}

// replace ends the searcher and starts another one at the same address.
func (t *target) replace() {
	old := t.id()
	t.current.Close()
	t.proxy.Cut()
	t.world.platform.RemoveEntry(old)
	t.start()
	t.proxy.SetServer(t.current.Addr())
	t.register()
}

// allIDs returns the ids of the searchers that ever ran for each service.
func (w *world) allIDs() map[string][]string {
	ids := map[string][]string{}
	for _, t := range w.targets {
		t.mu.Lock()
		ids[t.service] = append(ids[t.service], t.ids...)
		t.mu.Unlock()
	}
	return ids
}

// sum adds what each searcher of a service counted by request id.
func (w *world) sum(service string, counts func(*searcher.Searcher) map[string]int) map[string]int {
	all := map[string]int{}
	for _, t := range w.targets {
		if t.service != service {
			continue
		}
		t.mu.Lock()
		searchers := t.all
		t.mu.Unlock()
		for _, s := range searchers {
			for id, n := range counts(s) {
				all[id] += n
			}
		}
	}
	return all
}
