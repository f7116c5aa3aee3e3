// Package capacity measures what the tier's roles cost on this machine and
// extrapolates to the size that the design must carry.
//
// Every figure at that size is a measured slope times a count. The package says
// so too where the result does not fit its bound.
package capacity

import "time"

// Size is a deployment's size.
type Size struct {
	Hosts            int
	Targets          int
	Regions          int
	FailureDomains   int
	QueriesPerSecond float64
	// FanOut is the targets that one query asks.
	FanOut        int
	TargetSlots   int
	P99           time.Duration
	ChangesPerDay float64
	// InForce bounds the time for a change to reach every host.
	InForce time.Duration
	// HostListChangesPerDay counts hosts that fail, and twice those that restart.
	HostListChangesPerDay float64
	// OncePerSecond is the queries that must not repeat.
	OncePerSecond float64
	// The bounds on control, for each host.
	ControlCore        float64
	ControlBytes       float64
	ControlBytesPerSec float64
}

const (
	megabyte      = 1 << 20
	kilobyte      = 1 << 10
	secondsPerDay = 24 * 60 * 60
)

// DesignSize returns the size to design for. The users do not say how many
// queries must not repeat; one in a hundred is assumed.
func DesignSize() Size {
	const failuresPerDay, restartsPerDay = 12, 730
	return Size{
		Hosts:                 1400,
		Targets:               7900,
		Regions:               7,
		FailureDomains:        18,
		QueriesPerSecond:      170_000,
		FanOut:                1400,
		TargetSlots:           2,
		P99:                   67 * time.Millisecond,
		ChangesPerDay:         4800,
		InForce:               12 * time.Second,
		HostListChangesPerDay: failuresPerDay + 2*restartsPerDay,
		OncePerSecond:         1700,
		ControlCore:           0.011,
		ControlBytes:          32 * megabyte,
		ControlBytesPerSec:    5 * kilobyte,
	}
}

// subrequestsPerSecond returns the fleet's.
func (s *Size) subrequestsPerSecond() float64 { return s.QueriesPerSecond * float64(s.FanOut) }

// perHost shares a fleet's rate among its hosts.
func (s *Size) perHost(rate float64) float64 { return rate / float64(s.Hosts) }
