// Package replica rates targets by their recent exchanges and chooses among the
// replicas of a shard. It does no I/O, starts no goroutines and takes the time as
// an argument.
package replica

import (
	"math"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
)

// Result classifies the end of an exchange with respect to the target's health.
type Result uint8

const (
	// Served means a usable reply.
	Served Result = iota
	// Shed means that the target refused the request.
	Shed
	// Failed means an error, a broken connection or an unusable reply.
	Failed
	// Silent means that no reply arrived in time.
	Silent
	// Withdrawn means that the host cancelled the request at once. It tells nothing about
	// the target.
	Withdrawn
)

// Exchange is one finished exchange.
type Exchange struct {
	Sent time.Time
	// Expected is the usual response time of such a request.
	Expected time.Duration
	// Work is the response time of such a request that waits for nothing, 0 if it is
	// unknown.
	Work   time.Duration
	Result Result
	// Foreseen is the part of the exchange that predicted pauses of the target took. It
	// counts neither as slowness nor as a fault.
	Foreseen time.Duration
	// Queued is set if calls waited for a connection to the target when it ended.
	Queued bool
}

const (
	// halfLife is the half-life of the failure rate of a target without new samples, and
	// the longest one of its slowness. The decay makes an avoided target eligible again.
	halfLife = 6 * time.Second
	// failureGain is the weight of a new sample in the moving average of the
	// failure rate.
	failureGain = 0.2
)

// Stats holds the statistics of one target. It is not safe for concurrent use.
type Stats struct {
	// Slots is the number of requests that the target processes concurrently, 0 if it
	// is unknown.
	Slots int
	// speed and slowness are averages of response time over expected response time, over
	// minutes and over the last replies.
	speed       speed
	slowness    slowness
	failureRate float64
	updated     time.Time
	// silentSince is the start of the current period without a reply: the end of the
	// last exchange that was not Silent or, if later, the start of an exchange while
	// none was in flight.
	silentSince time.Time
	outstanding int
	drain       drain
	congestion  congestion
	report      report
}

// Load is a snapshot of the state of a target.
type Load struct {
	// Slowness is the response time relative to the expected one; 1 is usual.
	Slowness    float64
	FailureRate float64
	Outstanding int
	// Stalled is the time without any reply while requests were in flight.
	Stalled time.Duration
	// DrainInterval is the mean interval between two replies while calls wait for a
	// connection, 0 if it is unknown.
	DrainInterval time.Duration
	// Idle is the number of connections that a call can use at once.
	Idle int
	// Waiting is the number of calls that wait for a connection.
	Waiting int
	// Limit is the number of connections that the host may have to the target, and
	// Slots the number of requests that the target processes concurrently, 0 if it is
	// unknown.
	Limit int
	Slots int
	// Room is Limit less the connections in use and the waiting calls. It is
	// negative if more calls wait than connections are free.
	Room int
	// Unreachable is set if the host has no connection and failed to open one.
	Unreachable bool
	// Distrusted is set while other hosts report the target as slow or failing.
	Distrusted bool
	// Moved is set if another process uses the target's address.
	Moved bool
	// Leaving is set if the target has reported that it is leaving, and Left once it
	// must not be used any more.
	Leaving bool
	Left    bool
	// ForeseenStall is the pause in progress or the next one, as predicted from earlier
	// ones. Stalled does not include it.
	ForeseenStall stall.Window
	// PauseLeft is the rest of the time for which the target wants no request.
	PauseLeft time.Duration
	// Evacuated is set while the target's failure domain is evacuated. After that,
	// Withheld is the share of requests, 0 to 1, that the target doesn't get yet.
	Evacuated bool
	Withheld  float64
	// Held is the time until this host may send one more request to the target, which is
	// cold or limits its request rate; 0 if it may now. Limited is set if the limit is the
	// reason.
	Held    time.Duration
	Limited bool
	// Reported is the load that the target reported recently.
	Reported Reported
}

// Usable reports whether a request may be sent to the target at all.
func (l *Load) Usable() bool {
	return !l.Unreachable && !l.Moved && !l.Left && !l.Evacuated && l.PauseLeft <= 0 && l.Held <= 0
}

// Sent records the start of an exchange.
func (s *Stats) Sent(now time.Time) {
	if s.outstanding == 0 {
		s.silentSince = now
	}
	s.outstanding++
	s.report.sentSince++
}

// Ended records the end of an exchange.
func (s *Stats) Ended(now time.Time, e Exchange) {
	s.outstanding--
	if e.Result == Withdrawn {
		return
	}
	s.decay(now)
	s.drain.ended(now, e.Result, e.Queued, s.Slots)
	took := now.Sub(e.Sent) - e.Foreseen
	s.congestion.ended(took, e.Work, e.Result)
	if e.Result != Silent {
		s.silentSince = now
	}
	if e.Excused(now) {
		return
	}
	failure := 0.0
	if e.Result != Served {
		failure = 1
	}
	s.failureRate += failureGain * (failure - s.failureRate)
	if e.Result == Served || e.Result == Silent {
		s.observe(now, took, e.Expected)
	}
}

// Excused reports whether an exchange that ended at now without a reply did so because of
// a predicted pause.
func (e *Exchange) Excused(now time.Time) bool {
	return e.Result == Silent && e.Foreseen > 0 && 2*e.Foreseen >= now.Sub(e.Sent)
}

// Overloaded reports whether most requests wait at the target.
func (s *Stats) Overloaded() bool { return s.congestion.ratio >= overloaded }

// UsableConns returns how many of conns connections may carry requests at once.
func (s *Stats) UsableConns(conns int) int { return s.congestion.limit(conns) }

// Congested reports whether the target takes so much longer than the work itself that
// requests of all hosts are likely to wait at it.
func (s *Stats) Congested() bool { return s.congestion.ratio >= congested }

// Crowded reports whether requests wait at the target, which also takes much longer than
// it recently did at best. Unlike Congested it does not hold for a target that is only
// slow.
func (s *Stats) Crowded() bool { return s.congestion.crowded() }

// OwnTime returns the time that the target recently took at best for a request whose work
// takes the given time, 0 if it is unknown.
func (s *Stats) OwnTime(work time.Duration) time.Duration {
	return time.Duration(s.congestion.least * float64(work))
}

// observe adds a response time to the speed and the slowness.
func (s *Stats) observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	s.slowness.observe(now, ratio, s.speed.at(now))
	s.speed.observe(now, ratio)
}

// Usual returns what the target usually takes for a request with the expected time.
func (s *Stats) Usual(now time.Time, expected time.Duration) time.Duration {
	return time.Duration(s.speed.at(now) * float64(expected))
}

// decay moves the failure rate towards zero, according to the time since the last update.
func (s *Stats) decay(now time.Time) {
	if s.updated.IsZero() {
		s.updated = now
		return
	}
	idle := now.Sub(s.updated)
	s.updated = now
	s.failureRate *= decayFactor(idle)
}

// decayFactor returns the weight that statistics keep after a time without samples.
func decayFactor(idle time.Duration) float64 {
	return math.Exp2(-float64(idle) / float64(halfLife))
}

// Load returns the state of the target at now. Fields that depend on connections
// are left zero for the caller to set.
func (s *Stats) Load(now time.Time) Load {
	idle := now.Sub(s.updated)
	load := Load{Outstanding: s.outstanding, Slots: s.Slots, DrainInterval: s.drain.interval(), Reported: s.report.reported(now)}
	load.Slowness = s.slowness.at(now, s.speed.at(now))
	load.FailureRate = s.failureRate * decayFactor(idle)
	if s.outstanding > 0 {
		load.Stalled = now.Sub(s.silentSince)
	}
	return load
}
