package catalogsync

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// scripted answers calls from a list of steps and repeats the last one.
type scripted struct {
	mu    sync.Mutex
	calls []string
	steps []func() (Batch, error)
}

func (s *scripted) next(call string) (Batch, error) {
	return s.step(call)()
}

func (s *scripted) step(call string) func() (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	step := s.steps[0]
	if len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
	return step
}

func (s *scripted) firstCalls(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls[:n]...)
}

func (s *scripted) Read(catalog.Position) (Batch, error) { return s.next("read") }

func (s *scripted) Watch(_ catalog.Position, wait time.Duration) (Batch, error) {
	batch, err := s.next("watch")
	if err == nil && len(batch.Changes) == 0 {
		time.Sleep(wait)
	}
	return batch, err
}

func TestCompactedHistoryIsReadAgainAndFailedCallIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		succeeds := func(b Batch) func() (Batch, error) { return func() (Batch, error) { return b, nil } }
		fails := func(err error) func() (Batch, error) { return func() (Batch, error) { return Batch{}, err } }
		source := &scripted{steps: []func() (Batch, error){
			fails(errors.New("down")), succeeds(Batch{Full: true, Position: at(3), Changes: []Change{config(1), target("a")}}),
			fails(errors.New("down")), succeeds(Batch{Position: at(4), Changes: []Change{removal("a")}}),
			fails(ErrCompacted), succeeds(Batch{Full: true, Position: at(9), Changes: []Change{config(2)}}), succeeds(Batch{Position: at(9)}),
		}}
		f := New(source, nullLogger(), Hooks{OnView: func(*catalog.View) {}})
		require.Nil(t, f.View().Config)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(2 * maxBackoff)
		require.Len(t, f.View().ByService["s"], 1, "the removal is delayed after a store outage")
		time.Sleep(removalDelay + time.Second)
		require.Empty(t, f.View().ByService["s"])
		require.EqualValues(t, 2, f.View().Config.Version)
		require.Equal(t, []string{"read", "read", "watch", "watch", "watch", "read", "watch"}, source.firstCalls(7))
		cancel()
		time.Sleep(watchWait)
		<-done
	})
}

// TestViewIsReportedAfterItIsInstalled reads View inside the OnView hook: the new
// view must not be reported before the hook has installed it for requests.
func TestViewIsReportedAfterItIsInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scripted{steps: []func() (Batch, error){
			func() (Batch, error) { return Batch{Full: true, Position: at(1), Changes: []Change{config(1)}}, nil },
			func() (Batch, error) { return Batch{Position: at(1)}, nil },
		}}
		var f *Follower
		viewUnchanged := make(chan bool, 1)
		f = New(source, nullLogger(), Hooks{OnView: func(*catalog.View) {
			viewUnchanged <- f.View().Config == nil
		}})
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		require.True(t, <-viewUnchanged, "View returned the new view before the hook had installed it")
		time.Sleep(time.Second)
		require.NotNil(t, f.View().Config)
		cancel()
		time.Sleep(watchWait)
	})
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	for failures := 1; failures < 40; failures++ {
		d := backoff(failures, maxBackoff)
		require.LessOrEqual(t, d, maxBackoff)
		require.GreaterOrEqual(t, d, initialBackoff/2)
	}
	require.GreaterOrEqual(t, backoff(20, maxBackoff), maxBackoff/2)
}

// TestFollowersOfLargeFleetCallStoreSeldomWhileItIsDown bounds the calls of a fleet: each
// host whose reader has no fresh data calls the store itself.
func TestFollowersOfLargeFleetCallStoreSeldomWhileItIsDown(t *testing.T) {
	const longest = 3 * time.Second
	p := progress{log: nullLogger(), longestPause: func() time.Duration { return longest }}
	for range 20 {
		require.LessOrEqual(t, p.failed(errors.New("down")), maxBackoff, "a host without entries can't serve")
	}
	_, err := p.accept(Batch{Full: true, Position: at(1)})
	require.NoError(t, err)
	total := time.Duration(0)
	const calls = 20
	for range calls {
		total += p.failed(errors.New("down"))
	}
	require.Greater(t, total, (calls-6)*longest/2)
}
