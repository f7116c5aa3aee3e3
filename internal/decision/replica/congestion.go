package replica

import "time"

const (
	// congestionGain is the weight of a new sample in the moving average.
	congestionGain = 0.12
	// congestionCap bounds each sample, which limits the effect of a single pause.
	congestionCap = 5
	// congested is the multiple of the work time from which on requests wait at the
	// target.
	congested = 2.5
	// overloaded is the multiple from which on the queue explains late replies. A target
	// that is slow for a while comes near congested without a queue.
	overloaded = 3.5
)

// congestion measures how much longer a target takes than the work itself: requests of
// all hosts wait at it for a slot. It answers the load of more requests than the target
// has slots for: there, a host that sends it fewer at once loses no throughput, and its
// own queue, unlike the target's, serves the most urgent first and refuses in time.
type congestion struct{ ratio float64 }

func (c *congestion) ended(took, work time.Duration, result Result) {
	if work <= 0 || result != Served {
		return
	}
	sample := min(float64(took)/float64(work), congestionCap)
	c.ratio += congestionGain * (sample - c.ratio)
}

// limit returns how many of a host's connections may carry requests at once.
func (c *congestion) limit(conns int) int {
	if c.ratio < congested {
		return conns
	}
	return max(conns/2, 1)
}
