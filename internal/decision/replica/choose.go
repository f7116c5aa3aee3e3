package replica

import "time"

// Candidate is a target that could take a request.
type Candidate struct {
	Load Load
	// Warming targets are still slow after their start.
	Warming bool
	// Remote targets are in another failure domain than the host.
	Remote bool
	// Spare targets are not in the host's own share; it has no connection to
	// them as long as it does not need them.
	Spare bool
}

const (
	// outstandingCost is the share of the usual time that each request in
	// flight from this host adds; other hosts are likely to have as many.
	outstandingCost = 0.35
	// warmingCost multiplies the cost of a target that has just started.
	warmingCost = 1.6
	// remoteCost is the added cost of crossing failure domains.
	remoteCost = 0.45
	// failureCost multiplies the failure rate.
	failureCost = 12
	// stallFactor is how many usual times without any reply make a stall.
	stallFactor = 2.5
	// stallCost is the added cost of a target that seems to stand still.
	stallCost = 6
	// spareCost is the added cost of a target outside the host's own share.
	spareCost = 0.7
	// fullCost is the added cost of a target without a free connection.
	fullCost = 3
	// distrustCost is the added cost of a target that other hosts found slow or
	// failing. It is more than that of a spare one.
	distrustCost = 3
	// unreachableCost is that of a target with no connection at all.
	unreachableCost = 1000
	// jitter spreads equal targets, as a share of the cost.
	jitter = 0.1
)

// Cost ranks a candidate for a request of the given usual time, in units of
// that time. It answers pauses, slowness, shedding and failures of targets, and
// load that is uneven between replicas.
func Cost(c Candidate, expected time.Duration) float64 {
	l := c.Load
	cost := l.Slowness * (1 + outstandingCost*float64(l.Outstanding+l.Waiting))
	if c.Warming {
		cost *= warmingCost
	}
	if c.Remote {
		cost += remoteCost
	}
	if c.Spare {
		cost += spareCost
	}
	cost += failureCost * l.FailureRate
	if stalled(l, expected) {
		cost += stallCost
	}
	if l.Distrusted {
		cost += distrustCost
	}
	if l.Room <= 0 {
		cost += fullCost * float64(1-l.Room)
	}
	if l.Unreachable {
		cost += unreachableCost
	}
	return cost
}

func stalled(l Load, expected time.Duration) bool {
	return float64(l.Stalled) > stallFactor*l.Slowness*float64(expected)
}

// Choose returns the index of the candidate with the least cost, or -1 for
// none. random returns numbers in [0, 1).
func Choose(candidates []Candidate, expected time.Duration, random func() float64) int {
	best, least := -1, 0.0
	for i := range candidates {
		cost := Cost(candidates[i], expected) * (1 + jitter*random())
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}
