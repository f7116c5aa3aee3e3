package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

const (
	chaosSeeds = 4
	chaosIDs   = 60
	chaosHosts = 7
	chaosSends = 4
	chaosLoss  = 0.02
)

// resultLog counts per id the runs at targets and the results reported to callers.
type resultLog struct {
	mu     sync.Mutex
	runs   map[string]int
	notRun map[string]int
	others map[string]int
}

func (l *resultLog) ran(id requestid.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id.Value]++
}

func (l *resultLog) record(id requestid.ID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && verdict.Of(err) == verdict.NotRun {
		l.notRun[id.Value]++
		return
	}
	l.others[id.Value]++
}

// TestAtMostOnceUnderLossDelayCrashesAndPartitions sends ids to random services
// over a network that loses and delays messages and splits in two, while hosts
// crash.
func TestAtMostOnceUnderLossDelayCrashesAndPartitions(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		f := newFleet(t, chaosHosts, seed+1)
		f.net.mu.Lock()
		f.net.loss, f.net.maxDelay = chaosLoss, 5*time.Millisecond
		f.net.mu.Unlock()
		l := &resultLog{runs: make(map[string]int), notRun: make(map[string]int), others: make(map[string]int)}
		ctx, cancel := context.WithCancel(context.Background())
		var injecting sync.WaitGroup
		injecting.Go(func() { f.injectFaults(ctx, rand.New(rand.NewPCG(seed, 1))) })
		var callers sync.WaitGroup
		for i := range chaosIDs {
			callers.Go(func() { f.sendRepeatedly(l, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
		}
		callers.Wait()
		cancel()
		injecting.Wait()
		l.verify(t, seed)
		f.close()
		f.hosts = nil
	}
}

func (l *resultLog) verify(t *testing.T, seed uint64) {
	ran := 0
	for id, runs := range l.runs {
		require.Equal(t, 1, runs, "seed %d: %s", seed, id)
		require.False(t, l.notRun[id] > 0 && l.others[id] == 0, "seed %d: %s ran, but only not_run was reported to its caller", seed, id)
		ran++
	}
	t.Logf("seed %d: %d of %d ids ran", seed, ran, chaosIDs)
	require.Greater(t, ran, chaosIDs/10, "seed %d: too few ids ran for a meaningful result", seed)
}

// sendRepeatedly sends one id to random hosts chaosSends times and runs it
// whenever its claim is granted.
func (f *testFleet) sendRepeatedly(l *resultLog, rng *rand.Rand) {
	id := resent(mint(f.t))
	for range chaosSends {
		host := f.host(1 + rng.IntN(chaosHosts))
		if host == nil {
			continue
		}
		err := host.Claim(context.Background(), id, testFingerprint, time.Now().Add(2*time.Second))
		l.record(id, err)
		if err == nil {
			l.ran(id)
			if rng.IntN(2) == 0 {
				host.Record(id, Outcome{Verdict: verdict.Ran, Status: 200})
			}
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

// injectFaults repeatedly crashes a random host and partitions the fleet, then
// reverts both, until ctx ends.
func (f *testFleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	ids := hostIDs(chaosHosts)
	list := hostList(1, ids)
	for ctx.Err() == nil {
		order := rng.Perm(chaosHosts)
		cut := 1 + rng.IntN(3)
		var a, b []model.HostID
		for i, at := range order {
			if i < cut {
				a = append(a, ids[at])
			} else {
				b = append(b, ids[at])
			}
		}
		f.net.partition(a, b, true)
		f.crash(ids[order[chaosHosts-1]])
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		f.net.partition(a, b, false)
		f.start(ids[order[chaosHosts-1]], time.Now(), list)
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}
