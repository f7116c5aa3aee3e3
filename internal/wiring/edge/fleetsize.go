package edge

import "time"

const (
	// unknownHosts is assumed until another host was heard of. It is more than
	// a small fleet has: for a moment too few connections harm less than too many.
	unknownHosts = 16
	// sizeHold is how long a larger size is kept, as hosts that went away may
	// still count at targets or come back.
	sizeHold = 30 * time.Second
	// sizeEvery is how often the size is looked at.
	sizeEvery = 250 * time.Millisecond
)

// fleetSize follows the number of hosts with a delay for falls.
type fleetSize struct {
	value int
	since time.Time
}

// see takes the number of hosts known now, 1 if no other is, and returns the
// number to count on.
func (f *fleetSize) see(known int, now time.Time) int {
	if known <= 1 && f.value == 0 {
		return unknownHosts
	}
	if known >= f.value || now.Sub(f.since) > sizeHold {
		f.value = known
		f.since = now
	}
	return f.value
}
