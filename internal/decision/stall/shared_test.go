package stall

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHostsThatShareEndsLearnTogether covers gatherers, each of which observes a target too
// seldom: alone it knows little, with the ends of the others it knows most phases.
func TestHostsThatShareEndsLearnTogether(t *testing.T) {
	const hosts, lasts = 9, 60 * time.Second
	random := rand.New(rand.NewPCG(6, 6))
	list := servers(60, 4500*time.Millisecond, 200*time.Millisecond, 0.01, random)
	alone, together := NewLearner(), NewLearner()
	watch(alone, list, 0, lasts, 700*time.Millisecond, random)
	for range hosts {
		watch(together, list, 0, lasts, 700*time.Millisecond, random)
	}
	now := epoch.Add(lasts)
	require.GreaterOrEqual(t, together.Learnt(now), 55)
	require.Less(t, alone.Learnt(now), together.Learnt(now))
}

// TestSharedEndKeepsItsTimeOverSeveralHops guards against ends that are late by the time
// for which hosts held them, and against old or invalid ones.
func TestSharedEndKeepsItsTimeOverSeveralHops(t *testing.T) {
	end := End{At: epoch, Length: 120 * time.Millisecond}
	first := Share("t", end, epoch.Add(300*time.Millisecond))
	held, ok := first.End(epoch.Add(time.Hour + 300*time.Millisecond))
	require.True(t, ok)
	second := Share("t", held, epoch.Add(time.Hour+700*time.Millisecond))
	got, ok := second.End(epoch.Add(700 * time.Millisecond))
	require.True(t, ok)
	require.Equal(t, end, got)
	for _, invalid := range []SharedEnd{
		{AgeMS: maxSharedAge.Milliseconds() + 1, LengthMS: 100}, {AgeMS: -1, LengthMS: 100}, {AgeMS: 1}, {AgeMS: 1, LengthMS: MaxLength.Milliseconds() + 1},
	} {
		_, ok := invalid.End(epoch)
		require.False(t, ok, "%+v", invalid)
	}
}

// TestTableIsAdoptedWhereNothingIsKnown guards against a new gatherer that has to learn
// anew, and against a table that replaces what a host knows or is kept although it is wrong.
func TestTableIsAdoptedWhereNothingIsKnown(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	list := servers(40, 3*time.Second, 120*time.Millisecond, 0, random)
	teacher, pupil := NewLearner(), NewLearner()
	watch(teacher, list, 0, 90*time.Second, 100*time.Millisecond, random)
	now := epoch.Add(90 * time.Second)
	for _, s := range teacher.Table(now, func(target string) bool { return target != "t-1" }) {
		p, ok := s.Pattern(now)
		require.True(t, ok)
		pupil.Adopt("index", s.Target, p, now)
		theirs, ours := teacher.Pattern(s.Target), pupil.Pattern(s.Target)
		require.InDelta(t, theirs.nextEnd(now).Sub(now).Seconds(), ours.nextEnd(now).Sub(now).Seconds(), 0.002)
		pupil.Adopt("index", s.Target, Pattern{Period: p.Period, End: p.End.Add(time.Second), Length: p.Length}, now)
		require.Equal(t, ours, pupil.Pattern(s.Target))
	}
	require.Greater(t, pupil.Learnt(now), 30)
	require.Zero(t, pupil.Pattern("t-1"))
	for range maxMisses {
		pupil.Miss("t-0")
	}
	require.Zero(t, pupil.Pattern("t-0"), "a wrong entry is dropped after three misses")
	watch(pupil, list, 90*time.Second, 60*time.Second, 100*time.Millisecond, random)
	require.InDelta(t, 3, pupil.families["index"].period.Seconds(), 0.001, "observations refine the period")
	for _, invalid := range []SharedPattern{{}, {PeriodUS: 1, LengthMS: 1}, {PeriodUS: 3e6, LengthMS: 2000}, {PeriodUS: 3e6, LengthMS: 100, NextMS: 4000}} {
		_, ok := invalid.Pattern(now)
		require.False(t, ok, "%+v", invalid)
	}
}
