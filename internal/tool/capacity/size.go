// Package capacity measures the cost of the tier's roles on this machine and
// extrapolates it to the size that the design must support.
//
// Every figure at that size is a measured slope times a count. The table also
// shows which figures exceed their bound.
package capacity

import "time"

// Size describes the size, the load and the bounds of a deployment.
type Size struct {
	Hosts            int
	Targets          int
	Regions          int
	FailureDomains   int
	QueriesPerSecond float64
	// FanOut is the number of targets that one query is sent to.
	FanOut        int
	TargetSlots   int
	P99           time.Duration
	ChangesPerDay float64
	// InForce bounds the time until a change is in force on every host.
	InForce time.Duration
	// HostListChangesPerDay counts each failure of a host once and each restart
	// twice.
	HostListChangesPerDay float64
	// NonIdempotentPerSecond is the rate of non-idempotent queries, which must run at
	// most once.
	NonIdempotentPerSecond float64
	// The bounds on the control loop of each host: the share of a core, the memory
	// in bytes and the traffic.
	ControlCore        float64
	ControlBytes       float64
	ControlBytesPerSec float64
}

const (
	megabyte      = 1 << 20
	kilobyte      = 1 << 10
	secondsPerDay = 24 * 60 * 60
)

// DesignSize returns the size to design for. The users do not state how many
// queries are non-idempotent; one in a hundred is assumed.
func DesignSize() Size {
	const failuresPerDay, restartsPerDay = 12, 730
	return Size{
		Hosts:                  1400,
		Targets:                7900,
		Regions:                7,
		FailureDomains:         18,
		QueriesPerSecond:       170_000,
		FanOut:                 1400,
		TargetSlots:            2,
		P99:                    67 * time.Millisecond,
		ChangesPerDay:          4800,
		InForce:                12 * time.Second,
		HostListChangesPerDay:  failuresPerDay + 2*restartsPerDay,
		NonIdempotentPerSecond: 1700,
		ControlCore:            0.011,
		ControlBytes:           32 * megabyte,
		ControlBytesPerSec:     5 * kilobyte,
	}
}

// subrequestsPerSecond returns the rate of sub-requests in the whole fleet.
func (s *Size) subrequestsPerSecond() float64 { return s.QueriesPerSecond * float64(s.FanOut) }

// perHost returns each host's share of a rate of the whole fleet.
func (s *Size) perHost(rate float64) float64 { return rate / float64(s.Hosts) }
