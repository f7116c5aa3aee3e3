package stall

import "time"

// Window is the pause of a target that is predicted next, relative to the time of the
// prediction. The zero value means that none is predicted.
type Window struct {
	// StartsIn is not positive during the pause.
	StartsIn time.Duration
	EndsIn   time.Duration
}

// Extra returns how much longer a request that is sent now takes because of the pause:
// the rest of it, or all of it if it interrupts the request's work.
func (w Window) Extra(work time.Duration) time.Duration {
	switch {
	case w.EndsIn <= 0 || w.StartsIn >= work:
		return 0
	case w.StartsIn > 0:
		return w.EndsIn - w.StartsIn
	default:
		return w.EndsIn
	}
}

// Pausing reports whether the pause is in progress.
func (w Window) Pausing() bool { return w.EndsIn > 0 && w.StartsIn <= 0 }
