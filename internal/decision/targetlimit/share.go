package targetlimit

import "time"

const (
	// LeastPerSecond is the rate at which a target is asked that takes less: only its answers
	// show that the limit has ended.
	LeastPerSecond = 0.25
	// equalPart is the part of a limit that is divided equally, so that a host without recent
	// demand can send too. The rest follows the demand.
	equalPart = 0.1
	// A target tolerates toleratedFactor times its limit in any toleratedTime, plus
	// toleratedRequests.
	toleratedFactor   = 1.5
	toleratedTime     = 4 * time.Second
	toleratedRequests = 4
)

// Demand is what a host knows of the demand for a service, in requests a second.
type Demand struct {
	// Own is this host's.
	Own float64
	// Total is that of all hosts, if Known is set.
	Total float64
	Known bool
	// Sharers is the number of hosts that send to the service's targets, at least 1.
	Sharers int
}

// Part is this host's part of the limits of a service's targets.
type Part struct {
	// Share is from 0 to 1.
	Share float64
	// Sharers is the number of hosts that have a part.
	Sharers int
}

// Part returns this host's part of the limits of the service's targets.
func (d Demand) Part() Part {
	sharers := max(d.Sharers, 1)
	equal := 1 / float64(sharers)
	if !d.Known || d.Total <= 0 {
		return Part{Share: equal, Sharers: sharers}
	}
	return Part{Share: min((1-equalPart)*d.Own/d.Total+equalPart*equal, 1), Sharers: sharers}
}

// Allowance is what a host may send to one target.
type Allowance struct {
	// PerSecond is the rate in requests a second.
	PerSecond float64
	// Lapses is set if a permit that isn't used soon is lost: so many hosts share the limit
	// that they would exceed it if all used a saved permit at once.
	Lapses bool
}

// Allowance returns what a host with this part may send to a target with a limit in requests
// a second.
func (p Part) Allowance(limit float64) Allowance {
	limit = max(limit, LeastPerSecond)
	saved := (toleratedFactor-1)*limit*toleratedTime.Seconds() + toleratedRequests
	return Allowance{PerSecond: limit * p.Share, Lapses: float64(p.Sharers) > saved}
}
