package edge

import "time"

const (
	// assumedHosts is the fleet size assumed if no other host has become known within
	// sizeSettleTime and the number is not confirmed. It is larger than a small fleet:
	// too few connections do less harm than too many.
	assumedHosts = 16
	// sizeSettleTime is how long the number of known hosts must not rise before it
	// is used. After a restart of all hosts each one discovers the others one by
	// one, and connections sized for a small fleet would overload the targets.
	sizeSettleTime = 1500 * time.Millisecond
	// aloneSettleTime replaces sizeSettleTime while a host whose settings name readers
	// knows no other host. Its first link can take up to two retries and a watch of the
	// store; a host that assumes a small fleet meanwhile connects to all targets itself.
	aloneSettleTime = 8 * time.Second
	// shrinkDelay is how long a larger size is kept, since lost hosts may still
	// hold connections at targets or return.
	shrinkDelay = 30 * time.Second
	// aloneDelay replaces shrinkDelay while a host that knew others knows none: it can't tell
	// their end from that of its own links, and the bounds that they share hold for all.
	aloneDelay = 15 * time.Minute
	// sizeInterval is how often the size is updated.
	sizeInterval = 250 * time.Millisecond
)

// fleetSize tracks the number of hosts; a smaller number applies after a delay.
type fleetSize struct {
	// alone is the settle time while no other host is known, at least sizeSettleTime.
	alone time.Duration
	// value is 0 until the size is known.
	value int
	// since is when a number at least as large as value was last known.
	since time.Time
	// largest is the largest number seen before the size was known, first at
	// risenAt.
	largest int
	risenAt time.Time
	// assumed is set while the last result was assumedHosts.
	assumed bool
}

// update takes the number of hosts known now, this one included, and whether that
// number is confirmed. It returns the number to use, 0 for unknown.
func (f *fleetSize) update(known int, confirmed bool, now time.Time) int {
	if f.value == 0 && !confirmed && !f.settled(known, now) {
		return 0
	}
	f.assumed = known <= 1 && f.value == 0 && !confirmed
	if f.assumed {
		return assumedHosts
	}
	delay := shrinkDelay
	if known <= 1 && !confirmed {
		delay = aloneDelay
	}
	if known >= f.value || now.Sub(f.since) > delay {
		f.value = known
		f.since = now
	}
	return f.value
}

// settled reports whether the number has not risen for sizeSettleTime.
func (f *fleetSize) settled(known int, now time.Time) bool {
	if known > f.largest {
		f.largest = known
		f.risenAt = now
	}
	if known <= 1 {
		return now.Sub(f.risenAt) >= max(f.alone, sizeSettleTime)
	}
	return now.Sub(f.risenAt) >= sizeSettleTime
}
