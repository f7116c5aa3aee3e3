package stall

import "time"

// Change is that the period of a service or index was learnt or dropped.
type Change struct {
	Family string
	// Period is zero if it was dropped.
	Period time.Duration
	Length time.Duration
}
