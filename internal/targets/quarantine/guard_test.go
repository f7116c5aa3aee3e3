package quarantine

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTargets answers sub-requests at once. Those whose body starts with "crash"
// crash their target, and those that start with "hold" stay in flight until the
// test calls the function in held.
type fakeTargets struct {
	mu         sync.Mutex
	crashes    int
	running    int
	maxRunning int
	held       []func()
}

func (f *fakeTargets) Submit(req *subquery.Request, done func(*subquery.Answer)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch body := string(req.Body); {
	case strings.HasPrefix(body, "crash"):
		f.crashes++
		go done(&subquery.Answer{Verdict: verdict.Unknown, Reason: verdict.TargetCrashed})
	case strings.HasPrefix(body, "hold"):
		f.running++
		f.maxRunning = max(f.maxRunning, f.running)
		f.held = append(f.held, func() { done(&subquery.Answer{Verdict: verdict.Ran}) })
	default:
		go done(&subquery.Answer{Verdict: verdict.Ran})
	}
	return func() {}
}

func request(body string, shard int) *subquery.Request {
	return &subquery.Request{
		Caller: "desk", Workload: "archive", Service: "s", Body: []byte(body),
		Shard:    model.ShardID(rune('a' + shard)),
		Target:   model.TargetID(rune('A' + shard)),
		Deadline: time.Now().Add(20 * time.Second),
	}
}

// submitAndWait submits a sub-request and waits for its answer.
func submitAndWait(g *Guard, req *subquery.Request) *subquery.Answer {
	answers := make(chan *subquery.Answer, 1)
	g.Submit(req, func(a *subquery.Answer) { answers <- a })
	return <-answers
}

func guards(services []*Service, targets subquery.Dispatcher) []*Guard {
	all := make([]*Guard, len(services))
	for i, s := range services {
		all[i] = NewGuard(s, targets)
	}
	return all
}

func TestCrashingRequestCrashesAtMostTwoTargets(t *testing.T) {
	services, _ := newTestFleet(t, 7)
	targets := &fakeTargets{}
	all := guards(services, targets)
	for i := range 70 {
		submitAndWait(all[i*3%7], request("crash", i%5))
	}
	require.Equal(t, 2, targets.crashes)
	for i, s := range services {
		refusal := s.CheckQuery("desk", "archive", []byte("crash"))
		require.NotNil(t, refusal, "host %d", i)
		require.Equal(t, verdict.Quarantined, refusal.Reason)
		require.Positive(t, refusal.RetryAfter)
		require.Len(t, s.Entries(), 1)
		require.Len(t, s.Entries()[0].Targets, 2)
		require.Nil(t, s.CheckQuery("other", "archive", []byte("crash")))
	}
}

func TestReleaseEndsQuarantineOnOtherHosts(t *testing.T) {
	services, net := newTestFleet(t, 3)
	all := guards(services, &fakeTargets{})
	net.mu.Lock()
	net.partitioned[testHostID(2)] = true
	net.mu.Unlock()
	submitAndWait(all[0], request("crash", 0))
	submitAndWait(all[1], request("crash", 1))
	fingerprint := FingerprintOf("desk", "archive", []byte("crash"))
	require.NotNil(t, services[1].Check(fingerprint))
	require.Nil(t, services[2].Check(fingerprint), "partitioned")

	require.True(t, services[0].Release(uint64(fingerprint)))
	require.Eventually(t, func() bool { return services[1].Check(fingerprint) == nil }, 20*time.Second, time.Millisecond)
	require.False(t, services[1].Release(uint64(fingerprint)), "already released")
}

func TestSuspectIsClearedByLaterSuccess(t *testing.T) {
	services, _ := newTestFleet(t, 3)
	all := guards(services, &fakeTargets{})
	harmless := request("fine", 0)
	services[0].OnCrash(harmless)
	fingerprint := FingerprintOf(harmless.Caller, harmless.Workload, harmless.Body)
	suspect := func() bool { return services[2].suspectOnShard(fingerprint, harmless.Shard) }
	require.Eventually(t, suspect, 20*time.Second, time.Millisecond)
	// Only a host that has the note clears the suspect.
	suspectWhereItRuns := func() bool { return services[1].suspectOnShard(fingerprint, harmless.Shard) }
	require.Eventually(t, suspectWhereItRuns, 20*time.Second, time.Millisecond)
	// The run starts at least a millisecond after the crash.
	time.Sleep(2 * time.Millisecond)
	require.True(t, submitAndWait(all[1], harmless).OK())
	require.Eventually(t, func() bool { return !suspect() }, 20*time.Second, time.Millisecond)
	// A crash in the same millisecond as the start of a successful run counts as
	// earlier than the run.
	time.Sleep(2 * time.Millisecond)
	services[1].OnCrash(harmless)
	require.Eventually(t, suspect, 20*time.Second, time.Millisecond)
	require.Nil(t, services[2].Check(fingerprint), "the cleared crash does not count")
}

func TestSuspectRunsOnOneTargetAtATime(t *testing.T) {
	services, _ := newTestFleet(t, 3)
	targets := &fakeTargets{}
	all := guards(services, targets)
	suspect := request("hold", 0)
	services[0].OnCrash(suspect)
	fingerprint := FingerprintOf(suspect.Caller, suspect.Workload, suspect.Body)
	for _, s := range services {
		require.Eventually(t, func() bool { return s.suspectOnShard(fingerprint, suspect.Shard) }, 20*time.Second, time.Millisecond)
	}
	answers := make(chan *subquery.Answer, 3)
	for _, g := range all {
		g.Submit(suspect, func(a *subquery.Answer) { answers <- a })
	}
	for range 2 {
		a := <-answers
		require.Equal(t, verdict.Quarantined, a.Reason)
		require.Equal(t, verdict.NotRun, a.Verdict)
	}
	targets.held[0]()
	require.True(t, (<-answers).OK())
	require.Equal(t, 1, targets.maxRunning)
}

func TestMissedNotesArriveWithSync(t *testing.T) {
	services, net := newTestFleet(t, 2)
	net.mu.Lock()
	net.partitioned[testHostID(1)] = true
	net.mu.Unlock()
	all := guards(services, &fakeTargets{})
	submitAndWait(all[0], request("crash", 0))
	submitAndWait(all[0], request("crash", 1))
	net.mu.Lock()
	net.partitioned[testHostID(1)] = false
	net.mu.Unlock()
	services[1].syncWithRandomHost(0)
	require.Eventually(t, func() bool {
		return services[1].CheckQuery("desk", "archive", []byte("crash")) != nil
	}, 20*time.Second, time.Millisecond)
}
