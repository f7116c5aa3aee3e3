// Package replica judges targets by what their recent exchanges showed and
// chooses among the replicas of a shard. It does no I/O, has no goroutines and
// gets the time from its callers.
package replica

import (
	"math"
	"time"
)

// Result is how an exchange ended, as far as the target's health goes.
type Result uint8

const (
	// Served means a usable reply.
	Served Result = iota
	// Shed means that the target refused the request.
	Shed
	// Failed means an error, a broken connection or a reply that can't be used.
	Failed
	// Silent means that no reply came in time.
	Silent
)

// Exchange is one finished exchange.
type Exchange struct {
	Sent time.Time
	// Expected is the usual time of such a request.
	Expected time.Duration
	Result   Result
}

const (
	// slownessGain is the weight of one sample in the slowness.
	slownessGain = 0.25
	// slownessCap bounds one sample, so that a single pause is soon forgotten.
	slownessCap = 12
	// halfLife is the time in which what is known of a target without samples
	// fades by half, so that it is tried again.
	halfLife = 6 * time.Second
	// failureGain is the weight of one sample in the failure rate.
	failureGain = 0.2
)

// Stats holds what is known of one target. Its owner guards it with a lock.
type Stats struct {
	// slowness is the mean of time over expected time; 0 before any sample.
	slowness    float64
	failureRate float64
	updated     time.Time
	// oldestSent is when the oldest exchange in flight was sent, or earlier.
	oldestSent  time.Time
	outstanding int
}

// Load is the state of a target at one moment.
type Load struct {
	// Slowness is 1 for a target of usual speed.
	Slowness    float64
	FailureRate float64
	Outstanding int
	// Stalled is how long the target has answered nothing while it had
	// something to answer.
	Stalled time.Duration
	// Idle counts the connections that a call could use at once. Waiting counts
	// calls that wait for a connection; Limit is the number of
	// connections that the host may have and Room what of it is free, less the
	// calls that wait.
	Idle        int
	Waiting     int
	Limit       int
	Room        int
	Unreachable bool
	// Distrusted is set while other hosts found the target slow or failing.
	Distrusted bool
	// Moved is set where another process has the target's address.
	Moved bool
}

// Sent notes that an exchange began.
func (s *Stats) Sent(now time.Time) {
	if s.outstanding == 0 {
		s.oldestSent = now
	}
	s.outstanding++
}

// Ended notes how an exchange ended.
func (s *Stats) Ended(now time.Time, e Exchange) {
	s.outstanding--
	s.decay(now)
	if e.Result != Silent {
		s.oldestSent = now
	}
	failure := 0.0
	if e.Result != Served {
		failure = 1
	}
	s.failureRate += failureGain * (failure - s.failureRate)
	if e.Result == Served || e.Result == Silent {
		s.observe(now.Sub(e.Sent), e.Expected)
	}
}

func (s *Stats) observe(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(float64(took)/float64(expected), slownessCap)
	if s.slowness == 0 {
		s.slowness = sample
		return
	}
	s.slowness += slownessGain * (sample - s.slowness)
}

// decay moves the figures towards those of a target without samples.
func (s *Stats) decay(now time.Time) {
	if s.updated.IsZero() {
		s.updated = now
		return
	}
	idle := now.Sub(s.updated)
	s.updated = now
	if s.slowness > 0 {
		s.slowness = 1 + (s.slowness-1)*fading(idle)
	}
	s.failureRate *= fading(idle)
}

// fading is the part of what is known that still counts after a time.
func fading(idle time.Duration) float64 {
	return math.Exp2(-float64(idle) / float64(halfLife))
}

// Load returns the state at now.
func (s *Stats) Load(now time.Time) Load {
	idle := now.Sub(s.updated)
	load := Load{Slowness: 1, Outstanding: s.outstanding}
	if s.slowness > 0 {
		load.Slowness = 1 + (s.slowness-1)*fading(idle)
	}
	load.FailureRate = s.failureRate * fading(idle)
	if s.outstanding > 0 {
		load.Stalled = now.Sub(s.oldestSent)
	}
	return load
}
