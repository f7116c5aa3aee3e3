package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// idsVariable names the environment variable that sets the number of request ids.
	idsVariable = "SWIFTVANE_ATMOSTONCE_IDS"
	defaultIDs  = 300
	// faultVariable names the environment variable that limits the faults to one kind:
	// kill, freeze or cut.
	faultVariable = "SWIFTVANE_ATMOSTONCE_FAULT"
	// claimSeed determines the hosts that requests are sent to and the faults.
	claimSeed = 20261203
	// claimHosts is the number of hosts in the fleet.
	claimHosts = 7
	// claimCallers is the number of concurrent callers.
	claimCallers = 16
	// maxSends bounds the rounds in which one id is sent, to one or two hosts a round.
	maxSends = 6
	// sendDeadlineMS is the deadline of each request, in milliseconds.
	sendDeadlineMS = 800
)

// sendResult is the answer to one request with a given id.
type sendResult struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	// lost is set if the connection was lost before an answer arrived.
	lost bool
}

// history holds all results that callers received for one id.
type history struct {
	mu      sync.Mutex
	id      string
	results []sendResult
}

func (h *history) add(s sendResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, s)
}

// onlyNotRun reports whether there was at least one answer and all answers had verdict
// not_run.
func (h *history) onlyNotRun() bool {
	answers := 0
	for _, s := range h.results {
		if s.lost {
			continue
		}
		if s.verdict != verdict.NotRun {
			return false
		}
		answers++
	}
	return answers > 0
}

func (h *history) answeredWith(v verdict.Verdict) bool {
	for _, s := range h.results {
		if !s.lost && s.verdict == v {
			return true
		}
	}
	return false
}

// startClaimFleet starts a fleet for the non-idempotent order-issuing workload and waits
// until each host can claim request ids.
func startClaimFleet(t *testing.T) *harness.Fleet {
	t.Helper()
	f := harness.Start(t, harness.Options{Shape: fixture.OrderIssuing(), Hosts: claimHosts, PeerProxies: true})
	for _, host := range f.Hosts {
		harness.Eventually(t, string(host.ID)+" can claim request ids", func() bool {
			_, err := host.Ask(t, f.Shape.Workload, harness.Body(0))
			return err == nil
		})
	}
	return f
}

// send sends one request with the history's id and records the result. It records
// nothing if the request was not sent.
func send(f *harness.Fleet, host *harness.Host, h *history) {
	client := &callerclient.Client{URLs: []string{host.URL()}, Caller: "once", HTTP: f.HTTP}
	body := json.RawMessage(fmt.Sprintf(`{"order":%q}`, h.id))
	_, err := client.Ask(context.Background(), callerapi.Query{
		Workload: f.Shape.Workload, Body: body, RequestID: h.id, DeadlineMS: lo.ToPtr[int64](sendDeadlineMS),
	})
	if err == nil {
		h.add(sendResult{verdict: verdict.Ran})
		return
	}
	failure, ok := errors.AsType[*verdict.Error](err)
	if !ok {
		panic(err)
	}
	switch failure.Reason {
	case callerclient.NotSent:
	case callerclient.ConnectionLost:
		h.add(sendResult{lost: true})
	default:
		h.add(sendResult{verdict: failure.Verdict, reason: failure.Reason})
	}
}

// sendRepeatedly sends one id a random number of times to random hosts, sometimes to
// two at once, even after it has been answered.
func sendRepeatedly(f *harness.Fleet, h *history, rng *rand.Rand) {
	sends := 1 + rng.IntN(maxSends)
	for n := 0; n < sends; n++ {
		var inFlight sync.WaitGroup
		for range 1 + rng.IntN(2) {
			host := f.Hosts[rng.IntN(len(f.Hosts))]
			inFlight.Go(func() { send(f, host, h) })
		}
		inFlight.Wait()
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
}

// injectFaults kills, pauses and partitions hosts, at most two at a time, until ctx
// ends. All faults are cleared when it returns.
func injectFaults(t *testing.T, ctx context.Context, f *harness.Fleet, rng *rand.Rand) {
	for ctx.Err() == nil {
		var active sync.WaitGroup
		order := rng.Perm(len(f.Hosts))
		for i := range 2 {
			host, fault, duration := f.Hosts[order[i]], pickFault(rng), time.Duration(100+rng.IntN(1400))*time.Millisecond
			active.Go(func() { injectFault(t, host, fault, duration) })
		}
		active.Wait()
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
}

func pickFault(rng *rand.Rand) string {
	faults := []string{"kill", "freeze", "cut"}
	fault := faults[rng.IntN(len(faults))]
	if only := os.Getenv(faultVariable); only != "" {
		return only
	}
	return fault
}

func injectFault(t *testing.T, host *harness.Host, fault string, duration time.Duration) {
	switch fault {
	case "kill":
		host.Kill(t)
		time.Sleep(duration)
		host.Restart(t)
		harness.Eventually(t, string(host.ID)+" is ready", host.Ready)
	case "freeze":
		host.Pause(t)
		time.Sleep(duration)
		host.Resume(t)
	case "cut":
		host.Proxy.SetRule(faultproxy.Blackhole())
		time.Sleep(duration)
		host.Proxy.SetRule(faultproxy.Rule{})
	}
}

func idCount(t *testing.T) int {
	text := os.Getenv(idsVariable)
	if text == "" {
		return defaultIDs
	}
	count, err := strconv.Atoi(text)
	require.NoError(t, err, idsVariable)
	return count
}

// runsByID returns the number of runs of each id on all targets.
func runsByID(t *testing.T, f *harness.Fleet) map[string]int {
	runs := make(map[string]int)
	for _, tgt := range f.Targets {
		report := tgt.Runs(t, "*")
		require.False(t, report.Incomplete)
		for _, run := range report.Runs {
			runs[run.RequestID] += run.Started
		}
	}
	return runs
}

// TestAtMostOnceDuringKillsPausesAndPartitions repeatedly sends the same ids to random
// hosts while hosts are killed, paused and partitioned. It guards against a second run
// of an id and against verdicts that contradict the targets' runs.
func TestAtMostOnceDuringKillsPausesAndPartitions(t *testing.T) {
	f := startClaimFleet(t)
	faults := rand.New(rand.NewPCG(claimSeed, 0))
	ctx, cancel := context.WithCancel(t.Context())
	var injecting sync.WaitGroup
	injecting.Go(func() { injectFaults(t, ctx, f, faults) })

	histories := sendAll(t, f, idCount(t))
	cancel()
	injecting.Wait()
	requireConsistentVerdicts(t, f, histories)
}

// sendAll sends count ids from claimCallers concurrent callers.
func sendAll(t *testing.T, f *harness.Fleet, count int) []*history {
	histories := make([]*history, count)
	next := make(chan int, count)
	for i := range count {
		next <- i
	}
	close(next)
	var callers sync.WaitGroup
	for range claimCallers {
		callers.Go(func() {
			for i := range next {
				id, err := callerclient.NewRequestID()
				if err != nil {
					panic(err)
				}
				histories[i] = &history{id: id}
				sendRepeatedly(f, histories[i], rand.New(rand.NewPCG(claimSeed, uint64(i+1))))
			}
		})
	}
	callers.Wait()
	return histories
}

// requireConsistentVerdicts compares the verdicts that callers received with the
// targets' runs: no id may run twice, an id that ran must not have got not_run answers
// only, and an id that did not run must not have got the verdict ran.
func requireConsistentVerdicts(t *testing.T, f *harness.Fleet, histories []*history) {
	// Requests still in flight end by their deadline.
	time.Sleep(2 * sendDeadlineMS * time.Millisecond)
	runs := runsByID(t, f)
	tally := make(map[string]int)
	ran := 0
	for _, h := range histories {
		require.LessOrEqual(t, runs[h.id], 1, "%s ran twice: %+v", h.id, h.results)
		if runs[h.id] > 0 {
			ran++
			require.False(t, h.onlyNotRun(), "%s ran, but all answers were not_run: %+v", h.id, h.results)
		} else {
			require.False(t, h.answeredWith(verdict.Ran), "%s did not run, but an answer said that it ran: %+v", h.id, h.results)
		}
		for _, s := range h.results {
			if s.lost {
				tally["no answer"]++
				continue
			}
			tally[s.verdict.String()+" "+string(s.reason)]++
		}
	}
	t.Logf("%d ids, %d ran; answers: %v", len(histories), ran, tally)
	require.Greater(t, ran, len(histories)/2, "too few ids ran for the test to be meaningful")
}

// TestAtMostOnceCrashRequestKillsAtMostTwoTargets sends random hosts, repeatedly, a
// request that crashes any target that runs it. It must be quarantined on every host
// after two crashes.
func TestAtMostOnceCrashRequestKillsAtMostTwoTargets(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			shape := fixture.OrderIssuing()
			shape.Idempotent = idempotent
			f := harness.Start(t, harness.Options{Shape: shape, Hosts: claimHosts})
			crashRepeatedly(t, f)
		})
	}
}

func crashRepeatedly(t *testing.T, f *harness.Fleet) {
	for _, host := range f.Hosts {
		harness.Eventually(t, string(host.ID)+" answers", func() bool {
			_, err := host.Ask(t, f.Shape.Workload, harness.Body(0))
			return err == nil
		})
	}
	const poison, sends = "poison", 100
	for _, tgt := range f.Targets {
		tgt.SetFaults(t, target.Faults{CrashBody: poison})
	}
	body := json.RawMessage(`{"order":"` + poison + `"}`)
	rng := rand.New(rand.NewPCG(claimSeed, 1))
	for range sends {
		_, err := f.Hosts[rng.IntN(len(f.Hosts))].Ask(t, f.Shape.Workload, body)
		require.Error(t, err)
	}
	crashes := 0
	for _, tgt := range f.Targets {
		if tgt.Exited() {
			crashes++
		}
	}
	require.Equal(t, 2, crashes)
	for _, host := range f.Hosts {
		entries, err := host.Admin().Quarantine()
		require.NoError(t, err)
		require.Len(t, entries.Entries, 1, string(host.ID))
	}
}
