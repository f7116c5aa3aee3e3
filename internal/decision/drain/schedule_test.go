package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswersComeBeforeTheDrainLimit guards against a schedule that leaves no time for the
// answers, or in which a short drain limit answers queries during the lame-duck time.
func TestAnswersComeBeforeTheDrainLimit(t *testing.T) {
	now := time.Unix(1_000, 0)
	for _, limit := range []time.Duration{time.Millisecond, time.Second, time.Hour} {
		s := NewSchedule(now, 3*time.Second, limit)
		require.Equal(t, now.Add(3*time.Second), s.RefuseAt)
		require.Equal(t, s.RefuseAt.Add(limit), s.EndAt)
		require.True(t, s.RefuseAt.Before(s.AnswerAt))
		require.True(t, s.AnswerAt.Before(s.ReleaseAt))
		require.True(t, s.ReleaseAt.Before(s.EndAt))
	}
}

// TestDeadlineFitsUntilUnfinishedQueriesAreAnswered guards against taking a query that the
// stop ends, and against refusing one that it doesn't.
func TestDeadlineFitsUntilUnfinishedQueriesAreAnswered(t *testing.T) {
	s := NewSchedule(time.Unix(1_000, 0), time.Second, time.Minute)
	require.True(t, s.Fits(s.AnswerAt))
	require.False(t, s.Fits(s.AnswerAt.Add(time.Nanosecond)))
	require.True(t, (*Schedule)(nil).Fits(s.EndAt.Add(time.Hour)), "the host isn't stopping")
}
