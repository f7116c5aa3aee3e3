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
	onceFaults = flag.Int("once-faults", 16, "number of faults that the at-most-once test injects")
	onceSeed   = flag.Uint64("once-seed", 1, "random seed of the at-most-once test")
)

const (
	onceCallers  = 8
	onceAttempts = 4
	// onceFaultInjectors is the number of hosts that have a fault at the same time.
	onceFaultInjectors = 2
	// onceLatencyUS is the targets' median latency in microseconds, long enough that
	// faults occur while requests are in flight.
	onceLatencyUS = 20_000
	onceDeadline  = 800 * time.Millisecond
	// maxFaultDuration bounds the duration of one fault.
	maxFaultDuration = 1500 * time.Millisecond
)

// attempts holds the results that a caller received for one request id.
type attempts struct {
	id       string
	answered bool
	failures []*verdict.Error
}

// onlyNotRun reports whether every attempt ended with verdict not_run; an attempt that
// was never sent counts as not run.
func (a *attempts) onlyNotRun() bool {
	for _, failure := range a.failures {
		if failure.Verdict != verdict.NotRun {
			return false
		}
	}
	return !a.answered
}

// lastAnswerNotRun reports whether the last attempt was sent and the tier answered
// that the request did not run.
func (a *attempts) lastAnswerNotRun() bool {
	last := a.failures[len(a.failures)-1]
	return !a.answered && last.Verdict == verdict.NotRun && last.Reason != callerclient.NotSent
}

// sendUntilAnswered sends one non-idempotent request to random hosts under the same id
// until it is answered, at most onceAttempts times.
func sendUntilAnswered(t *testing.T, f *harness.Fleet, random *rand.Rand, body int) *attempts {
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

// injectRandomFault injects one fault into a random host of the injector's own subset,
// and clears it after a random time.
func injectRandomFault(t *testing.T, f *harness.Fleet, injector int, random *rand.Rand) {
	own := f.Hosts[injector*len(f.Hosts)/onceFaultInjectors : (injector+1)*len(f.Hosts)/onceFaultInjectors]
	host := own[random.IntN(len(own))]
	duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
	switch random.IntN(4) {
	case 0:
		host.Pause(t)
		time.Sleep(duration)
		host.Resume(t)
	case 1:
		host.Kill(t)
		time.Sleep(duration)
		host.Restart(t)
	case 2:
		host.Proxy.SetRule(faultproxy.Blackhole())
		time.Sleep(duration)
		host.Proxy.SetRule(faultproxy.Rule{})
	case 3:
		host.Proxy.SetRule(faultproxy.Rule{ToClient: faultproxy.Flow{Hold: true}})
		time.Sleep(duration)
		host.Proxy.SetRule(faultproxy.Rule{})
	}
}

// TestAtMostOnceDuringHostFaults sends non-idempotent requests to random hosts, and
// resends failed ones under the same id, while hosts are paused, killed and
// partitioned. No request may run twice, and none that ran may be reported as not run.
func TestAtMostOnceDuringHostFaults(t *testing.T) {
	f := harness.Start(t, harness.Options{Shape: fixture.OrderIssuing(), Hosts: 7, PeerProxies: true})
	for _, tgt := range f.Targets {
		tgt.SetFaults(t, target.Faults{LatencyMedianUS: onceLatencyUS, LatencySigma: 1})
	}
	harness.Eventually(t, "witnesses vote on ids issued after they started", func() bool {
		return sendUntilAnswered(t, f, newRandom(onceCallers), 0).answered
	})

	var mu sync.Mutex
	var all []*attempts
	var callers, injectors sync.WaitGroup
	faultsDone := make(chan struct{})
	for caller := range onceCallers {
		callers.Go(func() {
			random := newRandom(uint64(caller))
			for n := caller; !closed(faultsDone); n += onceCallers {
				a := sendUntilAnswered(t, f, random, n)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
		})
	}
	for injector := range onceFaultInjectors {
		injectors.Go(func() {
			random := newRandom(uint64(onceCallers + injector))
			for range *onceFaults / onceFaultInjectors {
				injectRandomFault(t, f, injector, random)
			}
		})
	}
	injectors.Wait()
	close(faultsDone)
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

// requireAtMostOnce compares the targets' runs with the results that callers received.
func requireAtMostOnce(t *testing.T, f *harness.Fleet, all []*attempts) {
	t.Helper()
	runs := map[string]int{}
	for _, tgt := range f.Targets {
		report := tgt.Runs(t, "*")
		require.False(t, report.Incomplete)
		for _, run := range report.Runs {
			runs[run.RequestID] += run.Started
		}
	}
	answered, unknownByReason := 0, map[verdict.Reason]int{}
	for _, a := range all {
		failureText := fmt.Sprint(a.failures)
		require.LessOrEqual(t, runs[a.id], 1, "request %s ran more than once: %s", a.id, failureText)
		if a.answered {
			answered++
			require.Equal(t, 1, runs[a.id], "request %s was answered but did not run: %s", a.id, failureText)
			continue
		}
		if a.onlyNotRun() || a.lastAnswerNotRun() {
			require.Zero(t, runs[a.id], "request %s ran but was reported as not run: %s", a.id, failureText)
			continue
		}
		unknownByReason[a.failures[len(a.failures)-1].Reason]++
	}
	t.Logf("seed %d: %d ids: %d answered, unknown by last reason %v, the rest not run", *onceSeed, len(all), answered, unknownByReason)
	require.NotZero(t, answered)
}
