package catalogshare

import (
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
	received := make(chan LeavingTarget, 10)
	newFollower := func() *Source {
		s, _ := newSource(addr)
		s.opts.Hub.OnLeavingTarget(func(t LeavingTarget) { received <- t })
		_, err := s.Read(catalog.Position{})
		require.NoError(t, err)
		return s
	}
	sender, receiver := newFollower(), newFollower()
	leaving := LeavingTarget{Target: "t-1", Born: 5}
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
