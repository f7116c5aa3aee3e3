package edge

import "time"

const (
	// aloneHosts is assumed where no other host is heard of. It is more than
	// a small fleet has: too few connections harm less than too many.
	aloneHosts = 16
	// sizeSettles is how long the number of known hosts must not rise before it
	// counts: after the loss of all hosts each one hears of the others one by one,
	// and connections for a small fleet would fill the targets.
	sizeSettles = 1500 * time.Millisecond
	// sizeHold is how long a larger size is kept, as hosts that went away may
	// still count at targets or come back.
	sizeHold = 30 * time.Second
	// sizeEvery is how often the size is looked at.
	sizeEvery = 250 * time.Millisecond
)

// fleetSize follows the number of hosts with a delay for falls.
type fleetSize struct {
	// value is 0 until the size is known.
	value int
	since time.Time
	// rising is the largest number heard of before that, since risenAt.
	rising  int
	risenAt time.Time
}

// see takes the number of hosts known now, 1 if no other is, and whether it is
// known to be right. It returns the number to count on, 0 for unknown.
func (f *fleetSize) see(known int, right bool, now time.Time) int {
	if f.value == 0 && !right && !f.settled(known, now) {
		return 0
	}
	if known <= 1 && f.value == 0 && !right {
		return aloneHosts
	}
	if known >= f.value || now.Sub(f.since) > sizeHold {
		f.value = known
		f.since = now
	}
	return f.value
}

// settled reports whether the number has not risen for a while.
func (f *fleetSize) settled(known int, now time.Time) bool {
	if known > f.rising {
		f.rising = known
		f.risenAt = now
	}
	return now.Sub(f.risenAt) >= sizeSettles
}
