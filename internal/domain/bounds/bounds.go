// Package bounds keeps numbers from outside the process in ranges in which their sums, products and
// conversions can't overflow. What decodes such a number applies it.
package bounds

import "time"

const (
	// LongestPeriod is the longest time that counts. A longer one is taken for it: no timeout, age or
	// pause by which the tier decides is as long.
	LongestPeriod = 30 * 24 * time.Hour
	// MaxCount is the greatest number of things, such as hosts, records or bytes, that counts.
	MaxCount = 1 << 30
)

// Period returns a time of n units, at least 0 and at most LongestPeriod.
func Period(n int64, unit time.Duration) time.Duration {
	return time.Duration(min(max(n, 0), int64(LongestPeriod/unit))) * unit
}

// PeriodOf is Period for a number with a fraction. It returns 0 for NaN.
func PeriodOf(n float64, unit time.Duration) time.Duration {
	if !(n > 0) {
		return 0
	}
	return time.Duration(min(n, float64(LongestPeriod/unit)) * float64(unit))
}

// Count returns n, at least 0 and at most MaxCount.
func Count(n int) int { return min(max(n, 0), MaxCount) }

// Amount returns a rate or a weight, at least 0 and at most MaxCount. It returns 0 for NaN.
func Amount(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, MaxCount)
}
