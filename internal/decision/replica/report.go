package replica

import (
	"math"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// reportHalfLife is the age at which a target's report of its load has half of its
	// weight, and reportMaxAge the age from which on it has none. Queues of targets fill
	// and empty within the time of one request, and hosts that believe an older report all
	// choose the same target.
	reportHalfLife = 25 * time.Millisecond
	reportMaxAge   = 150 * time.Millisecond
	// reportedWaitCost is the cost of each usual response time of reported wait.
	reportedWaitCost = 1
	// reportedWaitCap bounds that cost. The cost of a leaving target must exceed that of all
	// others that can answer.
	reportedWaitCap = 40
	// reportedWaitMost bounds the wait itself, so that it fits a duration.
	reportedWaitMost = 10_000
	// slownessCapReported bounds the reported time of work as slownessCap the observed one.
	slownessCapReported = slownessCap
	// refusalWeight is the weight from which on a reported queue counts where a request may be
	// refused: the report is younger than reportHalfLife.
	refusalWeight = 0.5
)

// report is the last load that a target reported. It answers the load of several hosts
// that send to the same targets: each host sees only its own requests in flight, while
// the target counts those of all.
type report struct {
	load exchange.Load
	at   time.Time
	// workShare is the time of work as a share of the expected response time.
	workShare float64
	// sentSince is the number of exchanges that this host has begun since the report.
	sentSince int
}

// Reported is the load that a target reported, as of a later time.
type Reported struct {
	// Weight is the weight of the report against the host's own observations: 1 for a new
	// one, 0 without one.
	Weight float64
	// Wait is the expected wait for a slot of a request that reaches the target now, in
	// expected response times.
	Wait float64
	// Work is the time that work currently takes, relative to the usual time.
	Work float64
}

// Reported records the load that a target stated in the reply to an exchange.
func (s *Stats) Reported(now time.Time, load exchange.Load, e Exchange) {
	share := 1.0
	if e.Work > 0 && e.Expected > e.Work {
		share = float64(e.Work) / float64(e.Expected)
	}
	s.report = report{load: load, at: now, workShare: share}
}

// reported returns the report as of now. Requests that this host has sent since then
// count as well, because several may be sent between two reports.
func (r *report) reported(now time.Time) Reported {
	age := now.Sub(r.at)
	if !r.load.Reported() || age >= reportMaxAge {
		return Reported{}
	}
	queue := float64(r.load.Running+r.load.Waiting+r.sentSince+1-r.load.Slots) / float64(r.load.Slots)
	return Reported{
		Weight: math.Exp2(-float64(max(age, 0)) / float64(reportHalfLife)),
		Wait:   min(max(queue, 0)*r.workShare*r.load.Work, reportedWaitMost),
		Work:   min(r.load.Work, slownessCapReported),
	}
}

// slowness returns the response time of a request that waits for no slot, in expected
// response times: the observed one or, to the weight of the report, the reported time of
// work if that is longer. A shorter one doesn't count, since a report knows nothing of
// pauses and of the network.
func (l *Load) slowness() float64 {
	return l.Slowness + l.Reported.Weight*max(l.Reported.Work-l.Slowness, 0)
}

// blend returns a value from a report and one from the host's own observations, by the
// weight of the report.
func (r *Reported) blend(reported, observed float64) float64 {
	if r.Weight <= 0 {
		return observed
	}
	return r.Weight*reported + (1-r.Weight)*observed
}
