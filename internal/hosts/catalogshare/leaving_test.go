package catalogshare

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestLeavingTargetIsToldToAllFollowers sends a report from one follower and expects it
// at another one and at one that links afterwards.
func TestLeavingTargetIsToldToAllFollowers(t *testing.T) {
	hub, addr, _ := serve(t)
	first := newBatch(7, "a")
	first.Full = true
	hub.Publish(first)
	received := make(chan TargetStart, 10)
	newFollower := func() *Source {
		s, _ := newSource(addr)
		s.opts.Hub.OnLeavingTarget(func(t TargetStart, _ time.Time) { received <- t })
		_, err := s.Read(catalog.Position{})
		require.NoError(t, err)
		return s
	}
	sender, receiver := newFollower(), newFollower()
	leaving := TargetStart{Target: "t-1", Born: 5}
	sender.SendLeaving(leaving)
	require.Eventually(t, func() bool {
		_, err := receiver.Watch(at(7), time.Second)
		require.NoError(t, err)
		return len(received) > 0
	}, eventuallyTimeout, time.Millisecond)
	require.Equal(t, leaving, <-received)
	newFollower()
	require.Equal(t, leaving, <-received)
}

// TestRestartedReaderLearnsLeavingTargets covers a reader that starts after a target has
// reported that it is leaving. It guards against hosts that use the target again, or for
// the whole drain time anew, since the reader's state went with its process.
func TestRestartedReaderLearnsLeavingTargets(t *testing.T) {
	leaving := TargetStart{Target: "t-1", Born: 5}
	reported := time.Now().Add(-2 * time.Second)
	first := newBatch(7, "a")
	first.Full = true
	type report struct {
		target TargetStart
		since  time.Time
	}
	requireReport := func(t *testing.T, received <-chan report) {
		t.Helper()
		select {
		case r := <-received:
			require.Equal(t, leaving, r.target)
			require.WithinDuration(t, reported, r.since, time.Second, "the age of the report goes with it")
		case <-time.After(eventuallyTimeout):
			t.Fatal("the restarted reader has no report of the leaving target")
		}
	}
	t.Run("from a follower", func(t *testing.T) {
		restarted, addr, _ := serve(t)
		received := make(chan report, 10)
		restarted.OnLeavingTarget(func(t TargetStart, since time.Time) { received <- report{t, since} })
		restarted.Publish(first)
		follower, _ := newSource(addr)
		follower.opts.Hub.mu.Lock()
		follower.opts.Hub.leaving[leaving] = reported
		follower.opts.Hub.mu.Unlock()
		_, err := follower.Read(catalog.Position{})
		require.NoError(t, err)
		requireReport(t, received)
	})
	t.Run("from another reader", func(t *testing.T) {
		other, addr, _ := serve(t)
		other.mu.Lock()
		other.leaving[leaving] = reported
		other.mu.Unlock()
		other.Publish(first)
		restarted, _ := newSource(addr, "self")
		received := make(chan report, 10)
		restarted.opts.Hub.OnLeavingTarget(func(t TargetStart, since time.Time) { received <- report{t, since} })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go restarted.Observe(ctx)
		requireReport(t, received)
	})
}
