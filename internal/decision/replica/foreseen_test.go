package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
)

// TestTargetThatIsAboutToPauseIsAvoidedIfAnotherAnswersSooner guards against requests that
// a predicted pause delays, and against a detour that costs more than the pause.
func TestTargetThatIsAboutToPauseIsAvoidedIfAnotherAnswersSooner(t *testing.T) {
	pausing := Candidate{Load: Load{Slowness: 1, Room: 2, Limit: 2}}
	other := pausing
	other.Remote = true
	choose := func(startsIn, endsIn time.Duration) int {
		pausing.Load.ForeseenStall = stall.Window{StartsIn: startsIn, EndsIn: endsIn}
		return Choose([]Candidate{pausing, other}, usual, noJitter)
	}
	require.Equal(t, 0, choose(0, 0), "nothing is predicted")
	require.Equal(t, 1, choose(-50*time.Millisecond, 70*time.Millisecond))
	require.Equal(t, 1, choose(usual/2, 120*time.Millisecond), "the pause would interrupt the work")
	require.Equal(t, 0, choose(2*usual, 120*time.Millisecond), "the work ends before the pause")
	require.Equal(t, 1, choose(-100*time.Millisecond, usual), "a sweep waits for its last shard")
	require.Equal(t, 0, choose(-100*time.Millisecond, usual/5), "the rest of the pause hardly matters")
	require.Equal(t, 70*time.Millisecond+usual, Estimate(Load{Slowness: 1, Room: 1, Limit: 1, ForeseenStall: stall.Window{StartsIn: -1, EndsIn: 70 * time.Millisecond}}, usual))
	other.Load.Leaving = true
	require.Equal(t, 0, choose(-time.Second, 10*time.Second), "a prediction never outweighs that the other target is leaving")
}

// TestPredictedPauseIsNoFault guards against a target that is avoided for seconds after
// each pause that was predicted anyway.
func TestPredictedPauseIsNoFault(t *testing.T) {
	now := time.Now()
	var s Stats
	for _, result := range []Result{Served, Silent} {
		s.Sent(now)
		took := 20 * usual
		s.Ended(now.Add(took), Exchange{Sent: now, Expected: usual, Work: usual, Result: result, Foreseen: 19 * usual})
		now = now.Add(took)
	}
	load := s.Load(now)
	require.InDelta(t, 1, load.Slowness, 0.01)
	require.Zero(t, load.FailureRate)
	require.False(t, s.Overloaded())
}
