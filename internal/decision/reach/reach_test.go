package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestHostWithoutLinksIsToldFromTargetsThatAreDown guards against requests passed between hosts
// that all lack the same targets.
func TestHostWithoutLinksIsToldFromTargetsThatAreDown(t *testing.T) {
	require.True(t, Counts{Lost: 40, Reached: 3}.Cut(false))
	require.True(t, Counts{Lost: 1}.Cut(false))
	require.False(t, Counts{Lost: 1, Reached: 1}.Cut(false), "one target of two")
	require.False(t, Counts{Lost: 19, Reached: 21}.Cut(false))
	require.False(t, Counts{}.Cut(false))
	require.True(t, Counts{Lost: 15, Reached: 30}.Cut(true), "it ends only once most are back")
	require.False(t, Counts{Lost: 10, Reached: 31}.Cut(true))
	require.True(t, Better(0, 0.9))
	require.True(t, Better(0.2, 0.5))
	require.False(t, Better(0.9, 1), "the other host is as badly off")
	require.False(t, Better(0, 0.05), "nearly all are reached here")
	require.Zero(t, Counts{Reached: 5}.Share())
}

// TestSilenceOfOneTargetIsNoCut guards against taking pauses and slow targets for lost links.
func TestSilenceOfOneTargetIsNoCut(t *testing.T) {
	require.False(t, QuietTogether(3, time.Second), "few targets")
	require.False(t, QuietTogether(30, 100*time.Millisecond), "another one has just answered")
	require.True(t, QuietTogether(4, 150*time.Millisecond))
	require.False(t, Overdue(150*time.Millisecond, 100*time.Millisecond), "it usually takes that long")
	require.True(t, Overdue(150*time.Millisecond, 10*time.Millisecond))
	require.False(t, Silent(900*time.Millisecond, time.Millisecond))
	require.False(t, Silent(1200*time.Millisecond, 160*time.Millisecond))
	require.True(t, Silent(1300*time.Millisecond, 160*time.Millisecond))
}

func TestLostTargetStaysLostUntilItIsHeardFrom(t *testing.T) {
	var target Target
	require.False(t, target.Reached(now))
	target.Heard(now)
	require.True(t, target.Reached(now.Add(time.Second)))
	require.False(t, target.Reached(now.Add(time.Minute)), "nothing is known of it any more")
	require.True(t, target.Failed())
	require.False(t, target.Failed())
	require.True(t, target.Lost())
	require.False(t, target.Reached(now))
	target.Heard(now)
	require.False(t, target.Lost())
}
