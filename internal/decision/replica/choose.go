package replica

import "time"

// Candidate is a target that could take a request.
type Candidate struct {
	Load Load
	// Warming is set while a target that started recently is still slow.
	Warming bool
	// Remote is set for a target in another failure domain than the host.
	Remote bool
	// Spare is set for a target outside the host's own share of the targets. The
	// host opens connections to it only on demand.
	Spare bool
}

const (
	// outstandingCost is the relative cost of each request in flight from this
	// host. Other hosts are likely to have as many in flight.
	outstandingCost = 0.35
	// warmingCost multiplies the cost of a target that started recently.
	warmingCost = 1.6
	// remoteCost is the added cost of crossing failure domains.
	remoteCost = 2.5
	// failureCost is the added cost per unit of failure rate.
	failureCost = 12
	// stallFactor is the number of expected response times without any reply after
	// which a target counts as stalled.
	stallFactor = 2.5
	// stallCost is the added cost of a stalled target.
	stallCost = 6
	// spareCost is the added cost of a spare target.
	spareCost = 0.7
	// fullCost is the added cost of a target without a free connection, and of each
	// call that waits for one.
	fullCost = 3
	// distrustCost is the added cost of a target that other hosts report as slow or
	// failing. It exceeds spareCost, so that a healthy spare target is preferred.
	distrustCost = 3
	// withheldCost is the added cost of a target for a request of the share that it
	// doesn't get yet after an evacuation. It exceeds that of healthy targets in use and
	// is below that of failing ones and of a queue of several calls.
	withheldCost = 8
	// foreseenCost is the added cost of a target that is expected to delay a request by a
	// predicted pause, beside the delay itself. It exceeds remoteCost and spareCost: a
	// sweep waits for the last of its shards, so such a replica is better even if the
	// pause is nearly over. foreseenLeast is the least delay in expected response times.
	foreseenCost  = 4
	foreseenLeast = 0.3
	// foreseenCap bounds the added cost of a predicted pause, so that a wrong prediction
	// does not outweigh that a target is leaving or fails.
	foreseenCap = 12
	// leavingCost is the added cost of a target that is leaving. It exceeds all others
	// of a target that can answer, so that a leaving target is the last choice.
	leavingCost = 100
	// unreachableCost is the added cost of a target that accepts no connection.
	unreachableCost = 1000
	// jitter is the largest random increase of a cost, relative to the cost. It
	// spreads requests over targets of equal cost.
	jitter = 0.1
)

// Cost returns the cost of sending a request to a candidate, in units of the
// expected response time. It rises with the target's slowness, failures, stalls,
// predicted pauses and load. While the target's own report of its load is fresh, the wait
// that follows from it replaces the one assumed for this host's requests in flight.
func Cost(c Candidate, expected time.Duration) float64 {
	l := c.Load
	observedWait := l.Slowness * outstandingCost * float64(l.Outstanding+l.Waiting)
	reportedWait := min(reportedWaitCost*l.Reported.Wait, reportedWaitCap)
	cost := l.slowness() + l.Reported.blend(reportedWait, observedWait)
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
	if extra := foreseen(l, expected); extra >= foreseenLeast {
		cost += min(foreseenCost+extra, foreseenCap)
	}
	if l.Room <= 0 {
		cost += fullCost * float64(1-l.Room)
	}
	if l.Leaving {
		cost += leavingCost
	}
	if l.Unreachable {
		cost += unreachableCost
	}
	return cost
}

// foreseen returns the extra time that a predicted pause costs a request sent now, in
// expected response times.
func foreseen(l Load, expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return float64(l.ForeseenStall.Extra(workOf(l, expected))) / float64(expected)
}

// workOf returns the time that a target takes for a request.
func workOf(l Load, expected time.Duration) time.Duration {
	return time.Duration(l.Slowness * float64(expected))
}

// Silent reports whether the target has sent no reply for much longer than it usually
// takes.
func (l *Load) Silent(expected time.Duration) bool { return stalled(*l, expected) }

// stalled reports whether the target has sent no reply for stallFactor times the
// time it usually takes.
func stalled(l Load, expected time.Duration) bool {
	return float64(l.Stalled) > stallFactor*l.Slowness*float64(expected)
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there
// are no candidates. random returns numbers in [0, 1).
func Choose(candidates []Candidate, expected time.Duration, random func() float64) int {
	best, least := -1, 0.0
	for i := range candidates {
		cost := Cost(candidates[i], expected) * (1 + jitter*random())
		if held := candidates[i].Load.Withheld; held > 0 && random() < held {
			cost += withheldCost
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}
