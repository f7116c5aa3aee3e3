package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTargetThatReturnsGetsItsShareOnly guards against an idle target that returns after
// an evacuation and draws all requests, and against one that stays idle while the others
// are full or failing.
func TestTargetThatReturnsGetsItsShareOnly(t *testing.T) {
	const choices = 10000
	random := rand.New(rand.NewPCG(7, 7)).Float64
	returning := Candidate{Load: Load{Slowness: 1, Room: 2, Limit: 2, Withheld: 0.9}}
	for _, c := range []struct {
		other Load
		share float64
	}{
		{other: Load{Slowness: 2, Outstanding: 2, Room: 1, Limit: 2}, share: 0.1},
		{other: Load{Slowness: 1, FailureRate: 0.9, Room: 1, Limit: 2}, share: 1},
		{other: Load{Slowness: 1, Outstanding: 2, Waiting: 2, Room: -2, Limit: 2}, share: 1},
	} {
		taken := 0
		for range choices {
			if Choose([]Candidate{{Load: c.other}, returning}, time.Millisecond, random) == 1 {
				taken++
			}
		}
		require.InDelta(t, c.share, float64(taken)/choices, 0.02)
	}
}
