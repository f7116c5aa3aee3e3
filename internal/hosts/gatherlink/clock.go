package gatherlink

import "time"

// remoteClock estimates the clock of another host from the readings that it sends. The
// reading that took the least time on its way counts, so the estimate lags by the least
// time of the way.
type remoteClock struct {
	// least is the least difference of local receipt and remote reading so far, since
	// the local time base.
	least time.Duration
	base  time.Time
}

// maxReading bounds a reading. No process runs as long, and the differences of readings fit a duration.
const maxReading = 50 * 365 * 24 * time.Hour

// heard records a reading, in microseconds, that was received at now.
func (c *remoteClock) heard(now time.Time, readingUS int64) {
	reading := time.Duration(min(max(readingUS, 0), maxReading.Microseconds())) * time.Microsecond
	if c.base.IsZero() {
		c.base = now
		c.least = -reading
		return
	}
	c.least = min(c.least, now.Sub(c.base)-reading)
}

// known reports whether there was a reading.
func (c *remoteClock) known() bool { return !c.base.IsZero() }

// at returns the reading at a local time, in microseconds, 0 while it is unknown.
func (c *remoteClock) at(local time.Time) int64 {
	if !c.known() {
		return 0
	}
	return (local.Sub(c.base) - c.least).Microseconds()
}
