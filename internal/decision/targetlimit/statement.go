package targetlimit

import "time"

// Statement is what a target said last of the rate that it takes. The zero value is a target
// that has said nothing.
type Statement struct {
	// Limited is set if the target named a limit, PerSecond is its rate in requests a second.
	Limited   bool
	PerSecond float64
	// At is when the target said so.
	At time.Time
}

// SameLimit reports whether both statements name the same limit, or none.
func (s Statement) SameLimit(other Statement) bool {
	return s.Limited == other.Limited && s.PerSecond == other.PerSecond
}
