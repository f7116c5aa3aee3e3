package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// play records an exchange of the given time each interval for as long as given, and returns
// when the last one ended.
func play(s *Stats, from time.Time, lasts, interval, took time.Duration) time.Time {
	end := from
	for at := from; at.Before(from.Add(lasts)); at = at.Add(interval) {
		served(s, at, took)
		end = at.Add(took)
	}
	return end
}

// TestSpeedOfTargetIsKeptForMinutes guards against a slow machine that is tried again and
// again, because all that is known of it fades within seconds.
func TestSpeedOfTargetIsKeptForMinutes(t *testing.T) {
	var s Stats
	now := play(&s, time.Now(), 2*time.Minute, 700*time.Millisecond, 13*time.Millisecond)
	for _, later := range []time.Duration{0, 10 * time.Second, 30 * time.Second} {
		require.InDelta(t, 1.3, s.Load(now.Add(later)).Slowness, 0.05, later)
	}
	require.Less(t, s.Load(now.Add(15*time.Minute)).Slowness, 1.05)
	require.InDelta(t, 13*time.Millisecond, s.Usual(now, usual), float64(time.Millisecond))
}

// TestShortSlownessIsForgottenSoonAndLastingOneLate guards against a target that is avoided
// long after it was slow for a moment, and one that is tried each second although it has
// been slow for long.
func TestShortSlownessIsForgottenSoonAndLastingOneLate(t *testing.T) {
	var short, lasting Stats
	now := play(&short, time.Now(), time.Minute, 100*time.Millisecond, usual)
	now = play(&short, now, 600*time.Millisecond, 100*time.Millisecond, 5*usual/2)
	require.Greater(t, short.Load(now).Slowness, 2.0)
	require.Less(t, short.Load(now.Add(2*time.Second)).Slowness, 1.4)
	now = play(&lasting, now, time.Minute, 100*time.Millisecond, usual)
	now = play(&lasting, now, 10*time.Second, 100*time.Millisecond, 6*usual)
	require.Greater(t, lasting.Load(now).Slowness, 5.5)
	require.Greater(t, lasting.Load(now.Add(4*time.Second)).Slowness, 3.5)
	served(&lasting, now.Add(4*time.Second), usual)
	require.Less(t, lasting.Load(now.Add(4*time.Second+usual)).Slowness, 1.7, "a reply shows that the target has recovered")
}

// TestRareSampleCountsFully guards against hosts that see a target once a second and find
// out that it is slow after several late replies only.
func TestRareSampleCountsFully(t *testing.T) {
	var rare Stats
	now := play(&rare, time.Now(), time.Minute, time.Second, usual)
	served(&rare, now.Add(time.Second), 5*usual/2)
	require.Greater(t, rare.Load(now.Add(time.Second+5*usual/2)).Slowness, 1.8)
}

// TestUnpredictedPausesHardlyChangeTheSpeed guards against targets that are rated slow for
// minutes because of pauses.
func TestUnpredictedPausesHardlyChangeTheSpeed(t *testing.T) {
	var s Stats
	now := time.Now()
	for range 40 {
		now = play(&s, now, 4*time.Second, 200*time.Millisecond, usual)
		served(&s, now, 20*usual)
		now = now.Add(20 * usual)
	}
	require.InDelta(t, 1, s.speed.at(now), 0.1)
}
