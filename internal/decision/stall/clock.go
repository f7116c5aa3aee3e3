package stall

import "time"

// maxDrift is the greatest drift between the wall clock and the monotonic clock up to
// which phases are kept. The monotonic clock does not count the time of a frozen machine.
const maxDrift = 50 * time.Millisecond

// Clock detects that the monotonic clock has not run for a while. The zero value is ready
// for use.
type Clock struct {
	started bool
	offset  time.Duration
}

// Stepped reports whether the clocks have drifted apart since the last call that returned
// true or the first call. elapsed is the monotonic time since a fixed instant.
func (c *Clock) Stepped(wall time.Time, elapsed time.Duration) bool {
	offset := time.Duration(wall.UnixNano()) - elapsed
	if c.started && (offset-c.offset).Abs() <= maxDrift {
		return false
	}
	stepped := c.started
	c.started, c.offset = true, offset
	return stepped
}
