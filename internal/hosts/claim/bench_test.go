package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const benchHosts = 7

// newMeshFleet starts services that are connected by peer links on loopback.
func newMeshFleet(b *testing.B) []*Service {
	ids := hostIDs(benchHosts)
	addrs := make(map[model.HostID]string)
	var mu sync.Mutex
	lookup := func(id model.HostID) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		addr, ok := addrs[id]
		return addr, ok
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	services := make([]*Service, benchHosts)
	for i, id := range ids {
		mesh, err := peer.NewMesh(peer.Options{
			Self: id, ListenAddr: "127.0.0.1:0", Keys: [][]byte{[]byte("a key of thirty-two bytes or more")},
			Lookup: lookup, Scope: tally.NoopScope, Log: quietLog(),
		})
		require.NoError(b, err)
		views := &testHost{id: id}
		views.list.Store(hostList(1, ids))
		services[i] = New(Options{
			Self: model.Host{ID: id}, Incarnation: model.Incarnation(time.Now().Add(-time.Hour).UnixMilli()),
			Views: views, Transport: mesh, Registrar: mesh, Scope: tally.NoopScope, Log: quietLog(), MaxEntries: 1 << 22,
		})
		require.NoError(b, mesh.Start(ctx))
		mu.Lock()
		addrs[id] = mesh.Addr()
		mu.Unlock()
		running.Go(func() { _ = services[i].Run(ctx) })
		b.Cleanup(func() { _ = mesh.Close() })
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, s := range services {
		require.Eventually(b, func() bool {
			return s.Claim(ctx, mint(b), testFingerprint, soon()) == nil
		}, 30*time.Second, 10*time.Millisecond)
	}
	return services
}

// BenchmarkClaim measures claims of new ids over loopback links with 1 and with 64
// concurrent callers. The baseline without a claim is zero.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(map[int]string{1: "callers=1", 64: "callers=64"}[callers], func(b *testing.B) {
			services := newMeshFleet(b)
			latency := hdrhistogram.New(1, int64(time.Minute), 3)
			var mu sync.Mutex
			var next atomic.Int64
			var failed atomic.Int64
			b.ResetTimer()
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						began := time.Now()
						if services[n%benchHosts].Claim(context.Background(), mint(b), testFingerprint, soon()) != nil {
							failed.Add(1)
						}
						took := time.Since(began)
						mu.Lock()
						_ = latency.RecordValue(int64(took))
						mu.Unlock()
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e3, "p99-us")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/benchHosts, "claims/s/host")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}
