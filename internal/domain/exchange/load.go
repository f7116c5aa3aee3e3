package exchange

// Load is the load that a target reports in a reply. It changes many times a second. The
// zero value means that the target reported none.
type Load struct {
	// Running is the number of requests that the target processes, Waiting the number of
	// those that wait at it for a slot.
	Running int
	Waiting int
	// Slots is the number of requests that it can process at once, at least 1 in a report.
	Slots int
	// Work is the time that work currently takes on its machine, relative to the usual
	// time; 1 is usual.
	Work float64
}

// Reported reports whether the target stated its load.
func (l Load) Reported() bool { return l.Slots > 0 }
