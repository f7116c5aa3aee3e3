package stall

import "time"

// End is the end of one pause of a target.
type End struct {
	At time.Time
	// Length is a lower bound of the pause's length.
	Length time.Duration
}
