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
	// Bound is what it must stay within; empty if none is set.
	Bound string
	// Fits is "yes", "no", or empty without a bound.
	Fits string
	// Mechanism is what carries the figure.
	Mechanism string
}

// bounded fills in Bound and Fits.
func (r Row) bounded(value, bound float64, text string) Row {
	r.Bound = text
	r.Fits = "yes"
	if value > bound {
		r.Fits = "no"
	}
	return r
}

// bytesText writes a number of bytes in a fitting unit.
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
