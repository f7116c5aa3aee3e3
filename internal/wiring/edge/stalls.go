package edge

import "time"

// learnStalls learns when targets pause. It is called by the goroutine that tracks the
// fleet's size.
func (e *Edge) learnStalls(now time.Time) {
	// Sub uses the monotonic readings of both times, which Round removes.
	if e.clock.Stepped(now.Round(0), now.Sub(e.started)) {
		e.directory.ForgetStalls()
	}
	e.directory.LearnStalls(now)
}
