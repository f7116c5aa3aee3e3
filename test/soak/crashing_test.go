package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// crashingHosts and crashingTargets are the numbers of hosts and of targets for single requests.
	crashingHosts   = 5
	crashingTargets = 12
	// crashingID begins the ids of requests that crash the targets that run them.
	crashingID = "crashing"
	// crashingPause is the pause after each of them.
	crashingPause = 400 * time.Millisecond
	// contact is how long a host has to run before it counts as in touch, and maxLate how many
	// requests may reach targets through such hosts later than that after the third crash.
	contact = 3 * time.Second
	maxLate = 3
	// crashingLasts is how long a run lasts that is started by hand.
	crashingLasts = 30 * time.Second
)

// restarts keeps since when hosts run without interruption.
type restarts struct {
	mu    sync.Mutex
	since map[*host]time.Time
}

func (r *restarts) set(h *host, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since[h] = since
}

// inTouch reports whether a host has run for the time contact.
func (r *restarts) inTouch(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := r.since[h]
	return !since.IsZero() && time.Since(since) >= contact
}

// TestCrashingRequestIsRefusedWhileHostsRestart guards against hosts that pass a request on that the
// others know to crash targets, since they have started again.
func TestCrashingRequestIsRefusedWhileHostsRestart(t *testing.T) {
	runCrashing(t, 1, 4*contact)
}

// TestCrashingRequestIsRefusedForFreshSeeds is the same for as many seeds as -soak.runs asks for.
func TestCrashingRequestIsRefusedForFreshSeeds(t *testing.T) {
	forFreshSeeds(t, func(t *testing.T, seed uint64) { runCrashing(t, seed, crashingLasts) })
}

// TestCrashingRequestIsRefusedThoughTheHostsThatPassItOnAreKilled guards against a request that goes on
// crashing targets since each host that passes it on is lost before it has reported the crash.
func TestCrashingRequestIsRefusedThoughTheHostsThatPassItOnAreKilled(t *testing.T) {
	const sent, killAfter = 6, 100 * time.Millisecond
	e := newEnvironment(t, 1)
	e.startCrashingPlatform()
	e.addHosts(crashingHosts)
	harness.Eventually(t, "all hosts are ready", e.allReady)
	stop := e.startCallers()
	defer stop()
	time.Sleep(contact)
	reached := 0
	for n := range sent {
		h := e.hosts[n%len(e.hosts)]
		before := e.platform.Crashes()
		e.sendOneCrashing(h, n)
		time.Sleep(killAfter)
		h.kill()
		time.Sleep(contact / 2)
		h.start()
		harness.Eventually(t, "the host is ready again", h.isReady)
		if e.platform.Crashes() > before {
			reached++
		}
	}
	e.checkProcesses()
	require.LessOrEqual(t, reached, 1+maxLate, "of %d", sent)
}

// runCrashing sends a request that crashes targets to one host after the other while hosts are killed
// and stopped, and requires that it is refused.
func runCrashing(t *testing.T, seed uint64, lasts time.Duration) {
	e := newEnvironment(t, seed)
	e.startCrashingPlatform()
	e.addHosts(crashingHosts)
	harness.Eventually(t, "all hosts are ready", e.allReady)
	running := &restarts{since: map[*host]time.Time{}}
	for _, h := range e.hosts {
		running.set(h, time.Now())
	}
	stop := e.startCallers()
	defer stop()
	done := make(chan struct{})
	var restarting sync.WaitGroup
	restarting.Go(func() { e.restartHosts(running, done) })
	late, reached := e.sendCrashing(running, time.Now().Add(lasts))
	close(done)
	restarting.Wait()
	e.checkProcesses()
	t.Logf("%d targets crashed; requests that reached targets: %v", e.platform.Crashes(), reached)
	require.GreaterOrEqual(t, len(reached), 2, "the request is not refused before it has crashed targets")
	require.LessOrEqual(t, late, maxLate, "requests that reached targets: %v", reached)
}

// startCrashingPlatform starts the store, and targets that a request crashes.
func (e *environment) startCrashingPlatform() {
	var err error
	e.platform, err = deployment.Start(deployment.Options{
		Shards: shards, Replicas: replicas, Singles: crashingTargets, Attempts: 2, Work: work, Records: records, TopK: topK,
		Timeout: timeout, Objective: objective, LeastCoverage: minCoverage,
		Limits: catalog.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 65536, HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second},
		Crash: &deployment.Crash{
			Requests: func(id string) bool { return strings.HasPrefix(id, crashingID) },
			DownFor:  time.Second, EntryFor: 2 * time.Second,
		},
	})
	require.NoError(e.t, err)
	e.t.Cleanup(e.platform.Close)
}

// restartHosts kills or stops one or two hosts at a time and starts them again, until done is closed.
func (e *environment) restartHosts(running *restarts, done <-chan struct{}) {
	for !isClosed(done) {
		for range 1 + e.pick(2) {
			h := e.anyHost()
			running.set(h, time.Time{})
			if e.pick(2) == 0 {
				h.kill()
			} else {
				h.terminate()
			}
			time.Sleep(e.between(minFaultDuration, maxFaultDuration))
			h.start()
			running.set(h, time.Now())
		}
		time.Sleep(e.between(contact/4, contact/2))
	}
}

// sendCrashing sends the request until the given time. It returns how many reached targets through
// hosts in touch later than contact after the third crash, and the names of all that did.
func (e *environment) sendCrashing(running *restarts, until time.Time) (late int, reached []string) {
	var third time.Time
	for n := 0; time.Now().Before(until); n++ {
		h := e.hosts[n%len(e.hosts)]
		inTouch, before := running.inTouch(h), e.platform.Crashes()
		counts := inTouch && !third.IsZero() && time.Since(third) > contact
		e.sendOneCrashing(h, n)
		time.Sleep(crashingPause)
		crashed := e.platform.Crashes()
		if crashed > before {
			reached = append(reached, fmt.Sprintf("%d at %s, in touch %t, late %t", n, h.name, inTouch, counts))
		}
		if crashed > before && counts {
			late++
		}
		if crashed >= 3 && third.IsZero() {
			third = time.Now()
		}
	}
	return late, reached
}

// sendOneCrashing sends the request once, under its own id.
func (e *environment) sendOneCrashing(h *host, n int) {
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	e.askPath(client, h, "/read/crashing", fmt.Sprintf("%s-%d", crashingID, n))
}
