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
	// idsVariable sets how many ids a longer run takes.
	idsVariable = "SWIFTVANE_ATMOSTONCE_IDS"
	defaultIDs  = 300
	// faultVariable narrows the faults to one: kill, freeze or cut.
	faultVariable = "SWIFTVANE_ATMOSTONCE_FAULT"
	// claimSeed fixes which hosts are asked and which faults happen.
	claimSeed = 20261203
	// claimHosts is the size of the fleet.
	claimHosts = 7
	// claimCallers send at the same time.
	claimCallers = 16
	// maxSends bounds how often one id is sent.
	maxSends = 6
	// sendDeadlineMS is each sending's deadline.
	sendDeadlineMS = 800
)

// sending is what a caller was told by one sending of an id.
type sending struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	// lost means that no answer came.
	lost bool
}

// history is all that a caller was told about one id.
type history struct {
	mu       sync.Mutex
	id       string
	sendings []sending
}

func (h *history) add(s sending) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sendings = append(h.sendings, s)
}

// toldOnlyNotRun reports whether there were answers and all were not_run.
func (h *history) toldOnlyNotRun() bool {
	answers := 0
	for _, s := range h.sendings {
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

func (h *history) told(v verdict.Verdict) bool {
	for _, s := range h.sendings {
		if !s.lost && s.verdict == v {
			return true
		}
	}
	return false
}

// claimFleet starts hosts and the targets of order issuing, which must not
// repeat, and waits until ids can be claimed.
func claimFleet(t *testing.T) *harness.Fleet {
	t.Helper()
	f := harness.Start(t, harness.Options{Shape: fixture.OrderIssuing(), Hosts: claimHosts, PeerProxies: true})
	for _, host := range f.Hosts {
		harness.Eventually(t, string(host.ID)+" claims", func() bool {
			_, err := host.Ask(t, f.Shape.Workload, harness.Body(0))
			return err == nil
		})
	}
	return f
}

// send sends an id once and records what came back.
func send(f *harness.Fleet, host *harness.Host, h *history) {
	client := &callerclient.Client{URLs: []string{host.URL()}, Caller: "once", HTTP: f.HTTP}
	body := json.RawMessage(fmt.Sprintf(`{"order":%q}`, h.id))
	_, err := client.Ask(context.Background(), callerapi.Query{
		Workload: f.Shape.Workload, Body: body, RequestID: h.id, DeadlineMS: lo.ToPtr[int64](sendDeadlineMS),
	})
	if err == nil {
		h.add(sending{verdict: verdict.Ran})
		return
	}
	failure, ok := errors.AsType[*verdict.Error](err)
	if !ok {
		panic(err)
	}
	switch failure.Reason {
	case callerclient.NotSent:
	case callerclient.ConnectionLost:
		h.add(sending{lost: true})
	default:
		h.add(sending{verdict: failure.Verdict, reason: failure.Reason})
	}
}

// pursue sends one id to random hosts, now and then to two at once, and does not
// stop at the first answer every time.
func pursue(f *harness.Fleet, h *history, rng *rand.Rand) {
	sends := 1 + rng.IntN(maxSends)
	for n := 0; n < sends; n++ {
		var both sync.WaitGroup
		for range 1 + rng.IntN(2) {
			host := f.Hosts[rng.IntN(len(f.Hosts))]
			both.Go(func() { send(f, host, h) })
		}
		both.Wait()
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
}

// disturbHosts kills, freezes and cuts hosts off, at most two at a time, until ctx
// ends. Every host is whole again when it returns.
func disturbHosts(t *testing.T, ctx context.Context, f *harness.Fleet, rng *rand.Rand) {
	for ctx.Err() == nil {
		var two sync.WaitGroup
		order := rng.Perm(len(f.Hosts))
		for i := range 2 {
			host, fault, length := f.Hosts[order[i]], pickFault(rng), time.Duration(100+rng.IntN(1400))*time.Millisecond
			two.Go(func() { troubleHost(t, host, fault, length) })
		}
		two.Wait()
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

func troubleHost(t *testing.T, host *harness.Host, fault string, length time.Duration) {
	switch fault {
	case "kill":
		host.Kill(t)
		time.Sleep(length)
		host.Restart(t)
		harness.Eventually(t, string(host.ID)+" is ready", host.Ready)
	case "freeze":
		host.Pause(t)
		time.Sleep(length)
		host.Resume(t)
	case "cut":
		host.Proxy.SetRule(faultproxy.Blackhole())
		time.Sleep(length)
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

// runsByID returns how often each id ran, over all targets.
func runsByID(t *testing.T, f *harness.Fleet) map[string]int {
	runs := make(map[string]int)
	for _, each := range f.Targets {
		report := each.Runs(t, "*")
		require.False(t, report.Incomplete)
		for _, run := range report.Runs {
			runs[run.RequestID] += run.Started
		}
	}
	return runs
}

// TestAtMostOnceThroughKillsFreezesAndCuts has callers send the same ids to
// random hosts again and again while hosts die, freeze and are cut off.
func TestAtMostOnceThroughKillsFreezesAndCuts(t *testing.T) {
	f := claimFleet(t)
	faults := rand.New(rand.NewPCG(claimSeed, 0))
	ctx, cancel := context.WithCancel(t.Context())
	var disturbing sync.WaitGroup
	disturbing.Go(func() { disturbHosts(t, ctx, f, faults) })

	histories := pursueAll(t, f, idCount(t))
	cancel()
	disturbing.Wait()
	judgeClaims(t, f, histories)
}

// pursueAll has the callers send count ids.
func pursueAll(t *testing.T, f *harness.Fleet, count int) []*history {
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
				pursue(f, histories[i], rand.New(rand.NewPCG(claimSeed, uint64(i+1))))
			}
		})
	}
	callers.Wait()
	return histories
}

// judgeClaims checks what callers were told against what the targets ran.
func judgeClaims(t *testing.T, f *harness.Fleet, histories []*history) {
	// What is still on its way ends by its deadline.
	time.Sleep(2 * sendDeadlineMS * time.Millisecond)
	runs := runsByID(t, f)
	tally := make(map[string]int)
	ran := 0
	for _, h := range histories {
		require.LessOrEqual(t, runs[h.id], 1, "%s ran twice: %+v", h.id, h.sendings)
		if runs[h.id] > 0 {
			ran++
			require.False(t, h.toldOnlyNotRun(), "%s ran, and its caller was told not_run only: %+v", h.id, h.sendings)
		} else {
			require.False(t, h.told(verdict.Ran), "%s did not run, and its caller was told that it ran: %+v", h.id, h.sendings)
		}
		for _, s := range h.sendings {
			if s.lost {
				tally["no answer"]++
				continue
			}
			tally[s.verdict.String()+" "+string(s.reason)]++
		}
	}
	t.Logf("%d ids, %d ran; answers: %v", len(histories), ran, tally)
	require.Greater(t, ran, len(histories)/2, "too few ids ran for the test to mean much")
}

// TestAtMostOnceCrashRequestKillsAtMostTwoTargets has one caller send a request
// that crashes each target that runs it, again and again, to every host.
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
	for _, each := range f.Targets {
		each.SetFaults(t, target.Faults{CrashBody: poison})
	}
	body := json.RawMessage(`{"order":"` + poison + `"}`)
	rng := rand.New(rand.NewPCG(claimSeed, 1))
	for range sends {
		_, err := f.Hosts[rng.IntN(len(f.Hosts))].Ask(t, f.Shape.Workload, body)
		require.Error(t, err)
	}
	crashes := 0
	for _, each := range f.Targets {
		if each.Exited() {
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
