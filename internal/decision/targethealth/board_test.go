package targethealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// healthy lets ten targets have good exchanges.
func healthy(b *Board, now time.Time) {
	for i := range 10 {
		b.Add(now, []Sample{{Target: fmt.Sprintf("t-%d", i), Good: 2}})
	}
}

func TestATargetThatIsSlowForSeveralHostsIsNamed(t *testing.T) {
	var b Board
	now := time.Unix(1000, 0)
	healthy(&b, now)
	for range leastBad - 1 {
		b.Add(now, []Sample{{Target: "slow", Bad: 1}})
	}
	require.Empty(t, b.Bad(now), "too few exchanges")
	b.Add(now, []Sample{{Target: "slow", Bad: 1}})
	require.Equal(t, []string{"slow"}, b.Bad(now))
	require.Empty(t, b.Bad(now.Add((sliceCount+1)*sliceLength)), "old exchanges don't count")
}

// TestAPauseIsNoFault: a target that stands still for 100 ms makes some
// exchanges slow among many.
func TestAPauseIsNoFault(t *testing.T) {
	var b Board
	now := time.Unix(1000, 0)
	healthy(&b, now)
	b.Add(now, []Sample{{Target: "paused", Good: 17, Bad: 4}})
	require.Empty(t, b.Bad(now))
}

func TestTroubleOfTheHostsThemselvesNamesNoTarget(t *testing.T) {
	var b Board
	now := time.Unix(1000, 0)
	healthy(&b, now)
	for i := range 8 {
		b.Add(now, []Sample{{Target: fmt.Sprintf("t-%d", i), Bad: 5}})
	}
	require.Empty(t, b.Bad(now))
}

func TestTheBoardSurvivesLongSilence(t *testing.T) {
	var b Board
	now := time.Unix(1000, 0)
	healthy(&b, now)
	now = now.Add(time.Hour)
	healthy(&b, now)
	b.Add(now, []Sample{{Target: "slow", Bad: leastBad}})
	require.Equal(t, []string{"slow"}, b.Bad(now))
}
