package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheFleetsSizeFallsLateAndIsNeverOneByIgnorance(t *testing.T) {
	now := time.Now()
	var f fleetSize
	require.Equal(t, unknownHosts, f.see(1, now))
	require.Equal(t, 7, f.see(7, now))
	require.Equal(t, 7, f.see(1, now.Add(time.Second)), "hosts that were lost may still count at targets")
	require.Equal(t, 9, f.see(9, now.Add(2*time.Second)))
	require.Equal(t, 3, f.see(3, now.Add(2*time.Second+sizeHold+time.Second)))
}
