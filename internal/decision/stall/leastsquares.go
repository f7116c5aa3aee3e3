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

// slopeOf returns the estimate from the differences that fit a period.
func slopeOf(spans []time.Duration, period time.Duration) leastSquares {
	var l leastSquares
	for _, s := range spans {
		if cycles, rest := cyclesOf(s, period); cycles > 0 && rest.Abs() <= toleranceOf(period) {
			l.add(cycles, s)
		}
	}
	return l
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
