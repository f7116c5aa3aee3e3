package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/internal/standin/store"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	shards   = 6
	replicas = 2
	singles  = 4
	records  = 12
	topK     = 10
	work     = 2 * time.Millisecond
	// single is the service of requests that go to one target.
	single = "single"
	// ratio, window and slack bound the extra load of a service.
	ratio  = 0.2
	window = 10 * time.Second
	slack  = 30
)

// world is everything outside of the hosts, and the hosts.
type world struct {
	t       *testing.T
	store   *store.Store
	targets []*target
	hosts   []*host
	ledger  ledger
	began   time.Time

	mu      sync.Mutex
	random  *rand.Rand
	version int64
	// lies is the share of the requests at targets that meet a fault.
	lies float64
}

// soak plays one seed.
func soak(t *testing.T, seed uint64, hosts int, lasting time.Duration) {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, seed)), version: 1, began: time.Now()}
	var err error
	w.store, err = store.Start()
	require.NoError(t, err)
	t.Cleanup(w.store.Close)
	for i := range shards {
		w.addTargets(shardName(i), replicas)
	}
	w.addTargets(single, singles)
	w.putConfig()
	w.addHosts(hosts)
	harness.Eventually(t, "all hosts are ready", w.allReady)
	stop := w.startCallers()
	w.playFaults(lasting)
	w.awaitRecovery()
	stop()
	w.check()
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

// pick returns a number from 0 to n-1.
func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// between returns a time from low to high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.pick(int(high-low)))
}

func (w *world) addTargets(service string, n int) {
	for i := range n {
		t := &target{world: w, service: service, name: fmt.Sprintf("%s-%d", service, i)}
		t.start()
		proxy, err := faultproxy.Start(t.current.Addr())
		require.NoError(w.t, err)
		w.t.Cleanup(proxy.Close)
		t.proxy = proxy
		t.register()
		w.targets = append(w.targets, t)
	}
}

// lie decides what a target does to a request.
func (w *world) lie() searcher.Fault {
	kinds := []searcher.Fault{
		searcher.Shed, searcher.FailRun, searcher.LoseAnswer, searcher.CutAnswer, searcher.TwoAnswers, searcher.NoLength,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() >= w.lies {
		return searcher.None
	}
	return kinds[w.random.IntN(len(kinds))]
}

func (w *world) setLies(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lies = share
}

// putConfig publishes the configuration under the next version.
func (w *world) putConfig() {
	w.mu.Lock()
	version := w.version
	w.version++
	w.mu.Unlock()
	services := []map[string]any{{"name": single, "max_conns": 40}}
	gather := make([]string, shards)
	for i := range gather {
		gather[i] = shardName(i)
		services = append(services, map[string]any{"name": gather[i], "max_conns": 40})
	}
	one := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "prefix": "/" + name + "/", "type": kind, "service": single,
			"timeout_ms": timeout.Milliseconds(), "slo_ms": 300, "priority": 2, "attempts": 3,
		}
	}
	w.store.PutJSON("op/config", map[string]any{
		"version": version, "services": services,
		"routes": []map[string]any{
			{
				"name": "sweep", "host": "a.example", "prefix": "/sweep/", "type": "safe", "gather": gather,
				"timeout_ms": timeout.Milliseconds(), "slo_ms": 300, "priority": 1, "attempts": 2, "top_k": topK, "oldest_version": 0.5,
			},
			one("read", "safe"), one("order", "unsafe"),
		},
		"limits": map[string]any{"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 2000, "idle_timeout_ms": 5000},
	})
}
