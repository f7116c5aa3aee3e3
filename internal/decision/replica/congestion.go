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
	// ownTimeRise is the weight of a sample above the target's own time. A target that
	// has become slow is taken as such after some thirty samples.
	ownTimeRise = 0.01
)

// congestion measures how much longer a target takes than the work itself: requests of
// all hosts wait at it for a slot. It answers the load of more requests than the target
// has slots for: there, a host that sends it fewer at once loses no throughput, and its
// own queue, unlike the target's, serves the most urgent first and refuses in time.
type congestion struct {
	ratio float64
	// mean is the ratio without a cap and least its recent minimum: a target that is slow
	// takes as long when nothing waits at it.
	mean  float64
	least float64
}

func (c *congestion) ended(took, work time.Duration, result Result) {
	if work <= 0 || result != Served {
		return
	}
	raw := float64(took) / float64(work)
	c.mean += congestionGain * (raw - c.mean)
	if c.least == 0 || raw < c.least {
		c.least = raw
	}
	c.least += ownTimeRise * (raw - c.least)
	sample := min(raw, congestionCap)
	c.ratio += congestionGain * (sample - c.ratio)
}

// limit returns how many of a host's connections may carry requests at once.
func (c *congestion) limit(conns int) int {
	if c.ratio < congested {
		return conns
	}
	return max(conns/2, 1)
}

// crowded reports whether requests wait at the target, which also takes much longer than
// it recently did at best.
func (c *congestion) crowded() bool {
	return c.ratio >= congested && c.mean >= congested*max(c.least, 1)
}
