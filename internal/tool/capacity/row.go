package capacity

import "fmt"

// Row is one figure of the capacity table.
type Row struct {
	Role     string
	Quantity string
	// Measured is the slope with its unit.
	Measured string
	// AtSize is the extrapolation with its unit.
	AtSize string
	// Bound is the upper limit of the figure; empty if there is none.
	Bound string
	// Fits is "yes" or "no", or empty without a bound.
	Fits string
	// Mechanism names the part of the design that keeps the figure low.
	Mechanism string
}

// bounded returns r with Bound set to text and Fits to whether value is within
// bound.
func (r Row) bounded(value, bound float64, text string) Row {
	r.Bound = text
	r.Fits = "yes"
	if value > bound {
		r.Fits = "no"
	}
	return r
}

// bytesText formats a number of bytes in B, KB or MB.
func bytesText(n float64) string {
	switch {
	case n >= megabyte:
		return fmt.Sprintf("%.1f MB", n/megabyte)
	case n >= kilobyte:
		return fmt.Sprintf("%.1f KB", n/kilobyte)
	default:
		return fmt.Sprintf("%.0f B", n)
	}
}
