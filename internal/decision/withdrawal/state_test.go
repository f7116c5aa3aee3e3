package withdrawal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const drain = 3 * time.Second

func TestLeavingTargetMayBeUsedUntilShortlyBeforeDrainEnds(t *testing.T) {
	var s State
	now := time.Now()
	require.False(t, s.Left(now.Add(time.Hour)))
	require.True(t, s.Leave(now, drain))
	require.False(t, s.Leave(now.Add(time.Second), drain), "a second report must not extend the time")
	require.True(t, s.Leaving())
	require.False(t, s.Left(now.Add(drain-leavingMargin-time.Millisecond)))
	require.True(t, s.Left(now.Add(drain-leavingMargin)))
}

func TestLeavingTargetIsLeftAtOnceWithoutDrainTime(t *testing.T) {
	var s State
	now := time.Now()
	s.Leave(now, 0)
	require.True(t, s.Left(now))
}

func TestPauseEndsAndIsNotShortened(t *testing.T) {
	var s State
	now := time.Now()
	s.Pause(now, 2*time.Second)
	s.Pause(now.Add(time.Second), 100*time.Millisecond)
	require.Equal(t, time.Second, s.PauseLeft(now.Add(time.Second)))
	require.Zero(t, s.PauseLeft(now.Add(2*time.Second)))
	s.Pause(now, 100*time.Hour)
	require.Equal(t, MaxPause, s.PauseLeft(now))
}
