package replica

import "time"

const (
	// drainMemory is the weight that earlier samples keep at each new one.
	drainMemory = 0.9
	// drainSamples is the number of samples from which on the interval counts as known.
	drainSamples = 2
)

// drain measures how fast a target works off the host's queue: the mean interval
// between its replies while calls wait. Unlike the response time it doesn't depend on
// how many connections the host has beyond the target's slots, and it includes the
// requests of other hosts.
type drain struct {
	// elapsed and replies are the weighted sums of the sampled time and replies.
	elapsed float64
	replies float64
	samples int
	// since is the start of the current sample, zero while no call waits; pending is
	// the number of replies since then.
	since   time.Time
	pending int
}

// ended records the end of an exchange. queued is set if calls wait for a connection.
// A sample has as many replies as the target has slots, since the replies of requests
// that started together come together.
func (d *drain) ended(now time.Time, result Result, queued bool, slots int) {
	if result != Served || !queued {
		d.since = time.Time{}
		return
	}
	d.pending++
	switch {
	case d.since.IsZero():
		d.since, d.pending = now, 0
	case d.pending >= slots:
		d.elapsed = drainMemory*d.elapsed + float64(now.Sub(d.since))
		d.replies = drainMemory*d.replies + float64(d.pending)
		d.samples++
		d.since, d.pending = now, 0
	}
}

// interval returns the mean interval, 0 while it is unknown.
func (d *drain) interval() time.Duration {
	if d.samples < drainSamples {
		return 0
	}
	return time.Duration(d.elapsed / d.replies)
}
