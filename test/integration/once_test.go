package integration

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

var (
	onceFaults = flag.Int("once-faults", 16, "faults of the at-most-once test")
	onceSeed   = flag.Uint64("once-seed", 1, "seed of the at-most-once test")
)

const (
	onceCallers  = 8
	onceAttempts = 4
	// onceDisturbers is how many hosts are disturbed at a time.
	onceDisturbers = 2
	// onceLatencyUS is the targets' median latency, so that faults meet requests
	// in flight.
	onceLatencyUS = 20_000
	onceDeadline  = 800 * time.Millisecond
	// faultTime bounds how long one fault lasts.
	faultTime = 1500 * time.Millisecond
)

// attempts is what a caller was told of one request id.
type attempts struct {
	id       string
	answered bool
	failures []*verdict.Error
}

// onlyNotRun reports whether every attempt was told that it did not run, or was
// not even sent.
func (a *attempts) onlyNotRun() bool {
	for _, failure := range a.failures {
		if failure.Verdict != verdict.NotRun {
			return false
		}
	}
	return !a.answered
}

// lastToldNotRun reports whether the tier's last word was that it did not run.
func (a *attempts) lastToldNotRun() bool {
	last := a.failures[len(a.failures)-1]
	return !a.answered && last.Verdict == verdict.NotRun && last.Reason != callerclient.NotSent
}

// file sends one request that must not repeat to random hosts, under the same id,
// until it is answered.
func file(t *testing.T, f *harness.Fleet, random *rand.Rand, body int) *attempts {
	id, err := callerclient.NewRequestID()
	if err != nil {
		t.Error(err)
	}
	a := &attempts{id: id}
	for range onceAttempts {
		host := f.Hosts[random.IntN(len(f.Hosts))]
		client := &callerclient.Client{URLs: []string{host.URL()}, Caller: "filing-desk", HTTP: f.HTTP}
		_, err := client.Ask(t.Context(), callerapi.Query{
			Workload: f.Shape.Workload, Body: harness.Body(body), DeadlineMS: callerapi.Deadline(onceDeadline), RequestID: id,
		})
		var failure *verdict.Error
		if !errors.As(err, &failure) {
			a.answered = true
			return a
		}
		a.failures = append(a.failures, failure)
		time.Sleep(min(failure.RetryAfter, onceDeadline))
	}
	return a
}

// disturb does one fault to a random host of a disturber's own and ends it.
func disturb(t *testing.T, f *harness.Fleet, disturber int, random *rand.Rand) {
	own := f.Hosts[disturber*len(f.Hosts)/onceDisturbers : (disturber+1)*len(f.Hosts)/onceDisturbers]
	host := own[random.IntN(len(own))]
	lasting := time.Duration(random.Int64N(int64(faultTime)))
	switch random.IntN(4) {
	case 0:
		host.Pause(t)
		time.Sleep(lasting)
		host.Resume(t)
	case 1:
		host.Kill(t)
		time.Sleep(lasting)
		host.Restart(t)
	case 2:
		host.Proxy.SetRule(faultproxy.Blackhole())
		time.Sleep(lasting)
		host.Proxy.SetRule(faultproxy.Rule{})
	case 3:
		host.Proxy.SetRule(faultproxy.Rule{ToClient: faultproxy.Flow{Hold: true}})
		time.Sleep(lasting)
		host.Proxy.SetRule(faultproxy.Rule{})
	}
}

// TestAtMostOnceThroughFaults has callers send requests that must not repeat to
// random hosts, the same id again where there was no answer, while hosts are
// frozen, killed and cut off.
func TestAtMostOnceThroughFaults(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.OrderIssuing(), Hosts: 7, PeerProxies: true})
	for _, searcher := range f.Targets {
		searcher.SetFaults(t, target.Faults{LatencyMedianUS: onceLatencyUS, LatencySigma: 1})
	}
	harness.Eventually(t, "witnesses vote on ids issued after their start", func() bool {
		return file(t, f, newRandom(onceCallers), 0).answered
	})

	var mu sync.Mutex
	var all []*attempts
	var callers, disturbers sync.WaitGroup
	calm := make(chan struct{})
	for caller := range onceCallers {
		callers.Go(func() {
			random := newRandom(uint64(caller))
			for n := caller; !closed(calm); n += onceCallers {
				a := file(t, f, random, n)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
		})
	}
	for disturber := range onceDisturbers {
		disturbers.Go(func() {
			random := newRandom(uint64(onceCallers + disturber))
			for range *onceFaults / onceDisturbers {
				disturb(t, f, disturber, random)
			}
		})
	}
	disturbers.Wait()
	close(calm)
	callers.Wait()
	requireAtMostOnce(t, f, all)
}

func newRandom(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(*onceSeed, stream)) }

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// requireAtMostOnce compares what targets ran with what callers were told.
func requireAtMostOnce(t *testing.T, f *harness.Fleet, all []*attempts) {
	t.Helper()
	runs := map[string]int{}
	for _, searcher := range f.Targets {
		report := searcher.Runs(t, "*")
		require.False(t, report.Incomplete)
		for _, run := range report.Runs {
			runs[run.RequestID] += run.Started
		}
	}
	answered, unknown := 0, map[verdict.Reason]int{}
	for _, a := range all {
		told := fmt.Sprint(a.failures)
		require.LessOrEqual(t, runs[a.id], 1, "request %s ran more than once: %s", a.id, told)
		if a.answered {
			answered++
			require.Equal(t, 1, runs[a.id], "request %s was answered and did not run: %s", a.id, told)
			continue
		}
		if a.onlyNotRun() || a.lastToldNotRun() {
			require.Zero(t, runs[a.id], "request %s ran, and its caller was told that it did not: %s", a.id, told)
			continue
		}
		unknown[a.failures[len(a.failures)-1].Reason]++
	}
	t.Logf("seed %d: %d ids: %d answered, unknown by last reason %v, the rest not run", *onceSeed, len(all), answered, unknown)
	require.NotZero(t, answered)
}
