package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// observeAll records exchanges that took the given time, with 10 ms of work each.
func observeAll(s *Stats, count int, took time.Duration) {
	now := time.Unix(100, 0)
	for range count {
		s.Sent(now)
		s.Ended(now.Add(took), Exchange{Sent: now, Work: 10 * time.Millisecond, Expected: 10 * time.Millisecond})
		now = now.Add(time.Second)
	}
}

// TestSlowTargetIsNotCrowded guards against a limit on requests to a target that is slow
// without a queue.
func TestSlowTargetIsNotCrowded(t *testing.T) {
	slow := &Stats{}
	observeAll(slow, 100, 60*time.Millisecond)
	require.True(t, slow.Congested())
	require.False(t, slow.Crowded())
	require.Equal(t, 60*time.Millisecond, slow.OwnTime(10*time.Millisecond))

	queued := &Stats{}
	observeAll(queued, 50, 10*time.Millisecond)
	observeAll(queued, 12, 60*time.Millisecond)
	require.True(t, queued.Crowded())

	turnedSlow := &Stats{}
	observeAll(turnedSlow, 50, 10*time.Millisecond)
	observeAll(turnedSlow, 60, 60*time.Millisecond)
	require.False(t, turnedSlow.Crowded())
}
