package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/test/harness"
)

// smallestHostMB is the memory limit of the smallest deployed hosts.
const smallestHostMB = 184

// TestHostIsNotKilledForEndlessReplies lets all targets of a service, and of one shard,
// send each part of a reply without end to many requests at once. It guards against a host whose
// resident memory exceeds the limit from which on it is killed.
func TestHostIsNotKilledForEndlessReplies(t *testing.T) {
	const requests, targets = 120, 8
	e := &environment{t: t, memoryMB: smallestHostMB, measured: true, grace: grace, random: rand.New(rand.NewPCG(1, 1)), startTime: time.Now()}
	var part atomic.Int32
	e.startPlatform(deployment.Options{
		Attempts: 3, Work: work, Timeout: 20 * time.Second, Objective: 10 * time.Second,
		Fault: func(service, _ string) searcher.Fault {
			if service == deployment.Single || service == deployment.Shard(0) {
				return searcher.Fault(part.Load())
			}
			return searcher.None
		},
	}, targets)
	e.addHosts(1)
	harness.Eventually(t, "the host is ready", e.allReady)
	for _, endless := range []searcher.Fault{
		searcher.EndlessBody, searcher.EndlessHead, searcher.EndlessInterims, searcher.EndlessUnframed, searcher.EndlessTrailer, searcher.Noise,
	} {
		part.Store(int32(endless))
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				route := []string{"order", "sweep"}[i%2]
				e.log.add(e.ask(newClient(), e.hosts[0], route, fmt.Sprintf("%s-%d-%d", route, endless, i)))
			})
		}
		all.Wait()
		t.Logf("fault %d: resident memory at its peak: %d MB", endless, e.hosts[0].process.PeakResidentBytes(t)>>20)
	}
	peak := e.hosts[0].process.PeakResidentBytes(t)
	statuses := map[string]int{}
	for _, a := range e.log.attempts {
		statuses[fmt.Sprint(a.route, " ", a.status)]++
		require.False(t, a.route == "order" && a.status == http.StatusOK, "%s: an answer without end is no success", a.id)
		require.False(t, a.status == http.StatusServiceUnavailable && e.hasRun(a.id), "%s was refused but has run", a.id)
	}
	t.Logf("resident memory at its peak: %d MB; answers: %v", peak>>20, statuses)
	require.Less(t, peak, int64(smallestHostMB)<<20)
	e.hosts[0].requireRunning()
}

// hasRun reports whether a target has run the request.
func (e *environment) hasRun(id string) bool {
	for _, t := range e.targets {
		if t.running().Runs()[id] > 0 {
			return true
		}
	}
	return false
}
