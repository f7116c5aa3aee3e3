package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheFleetsSizeFallsLateAndIsNeverOneByIgnorance(t *testing.T) {
	now := time.Now()
	var f fleetSize
	require.Zero(t, f.see(1, false, now))
	now = now.Add(sizeSettles)
	require.Equal(t, aloneHosts, f.see(1, false, now))
	require.Equal(t, aloneHosts, f.see(1, false, now.Add(sizeHold)))
	now = now.Add(sizeHold)
	require.Zero(t, f.see(7, false, now), "others were heard of just now")
	now = now.Add(sizeSettles)
	require.Equal(t, 7, f.see(7, false, now))
	require.Equal(t, 7, f.see(1, false, now.Add(time.Second)), "hosts that were lost may still count at targets")
	require.Equal(t, 9, f.see(9, false, now.Add(2*time.Second)), "once known, a larger size holds at once")
	require.Equal(t, 3, f.see(3, false, now.Add(2*time.Second+sizeHold+time.Second)))
}

// TestAHostThatRestartsAloneTakesTheSizeThatOthersCountOn: it needs its part of
// the extra load at once.
func TestAHostThatRestartsAloneTakesTheSizeThatOthersCountOn(t *testing.T) {
	var f fleetSize
	require.Equal(t, 59, f.see(59, true, time.Now()))
	var alone fleetSize
	require.Equal(t, 1, alone.see(1, true, time.Now()), "nobody else is in the settings")
}

// TestASizeThatStillRisesIsNotCountedOn: after the loss of all hosts they hear
// of each other one by one, and none may take itself for one of a few.
func TestASizeThatStillRisesIsNotCountedOn(t *testing.T) {
	now := time.Now()
	var f fleetSize
	for known := range 59 {
		require.Zero(t, f.see(known+1, false, now))
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(sizeSettles)
	require.Equal(t, 59, f.see(59, false, now))
}

func TestDomainsFallLate(t *testing.T) {
	now := time.Now()
	var d domainSizes
	require.Equal(t, map[string]int{"a": 2}, d.see(map[string]int{"a": 2}, now))
	require.Equal(t, map[string]int{"a": 2, "b": 1}, d.see(map[string]int{"a": 1, "b": 1}, now.Add(time.Second)))
	require.Equal(t, map[string]int{"b": 1}, d.see(map[string]int{"b": 1}, now.Add(2*sizeHold)))
}
