package stall

import "time"

// leastSquares estimates a period from differences between ends and their numbers of
// periods. The zero value has no samples.
type leastSquares struct{ xx, xy float64 }

func (l *leastSquares) add(cycles int64, span time.Duration) {
	x := float64(cycles)
	l.xx += x * x
	l.xy += x * float64(span)
}

// forget reduces the weight of the samples so far.
func (l *leastSquares) forget(keep float64) {
	l.xx *= keep
	l.xy *= keep
}

// slope returns the estimate, or other without samples.
func (l *leastSquares) slope(other time.Duration) time.Duration {
	if l.xx == 0 {
		return other
	}
	return time.Duration(l.xy / l.xx)
}
