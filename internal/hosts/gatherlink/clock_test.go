package gatherlink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClockIsEstimatedFromTheFastestReading(t *testing.T) {
	var c remoteClock
	require.False(t, c.known())
	require.Zero(t, c.at(time.Now()))
	began := time.Now()
	remote := func(local time.Duration) int64 { return (local + 5*time.Second).Microseconds() }
	c.heard(began.Add(40*time.Millisecond), remote(0))
	c.heard(began.Add(501*time.Millisecond), remote(500*time.Millisecond))
	c.heard(began.Add(1090*time.Millisecond), remote(time.Second))
	estimate := c.at(began.Add(2 * time.Second))
	require.Equal(t, remote(2*time.Second)-time.Millisecond.Microseconds(), estimate)
}
