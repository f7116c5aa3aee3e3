package overload

import "time"

const (
	// mostLate is the share of late results from which on leastLate of them are enough to
	// detect overload, in both windows. Fewer are no sign of it: pauses of targets make some
	// requests late, and at the start of a burst requests wait for new connections.
	mostLate  = 0.35
	leastLate = 3
	// limitedLate replaces them while a limit is in force, when few requests are admitted.
	limitedLate = 2
	// lateShare is the share of late results from which on a limit is cut.
	lateShare = 0.2
	// fewLate is the share of late results up to which the limit rises. queueShare is the
	// share of results with queueing above which it falls slowly: below that share requests
	// that waited and are in time are no reason to refuse others.
	fewLate    = 0.05
	queueShare = 0.3
	// cutWeight is by how much a share of late results cuts the limit.
	cutWeight = 0.3
	// drainShare is the part of the new limit that is admitted after a cut, until the
	// requests in flight are expected to have ended, at least drainLeast and at most
	// drainMost: those that are admitted behind a queue are late, too.
	drainShare = 0.4
	drainLeast = 200 * time.Millisecond
	drainMost  = 800 * time.Millisecond
	// raise is a step up, lower one down while many calls are queued, as shares of the limit.
	// Steps down stop at lowerLeast of the limit that was last reached, since a slow target
	// without a queue may look queued.
	raise      = 0.03
	lower      = 0.04
	lowerLeast = 0.85
	// regain replaces raise below regainShare of what was served when calls last queued.
	regain      = 0.08
	regainShare = 0.85
	// calmSteps is the number of steps up without late requests after which they are larger.
	// A limit that was set while a burst began is far below the capacity: it must be gone
	// within seconds.
	calmSteps = 4
	// usedShare is the share of the limit that must be used for it to rise. What a host
	// admits may be limited by the fleet's shares as well.
	usedShare = 0.85
	// stepInterval is the time between two steps.
	stepInterval = 200 * time.Millisecond
	// settleTime is how long the end of a drain takes until it shows in the results.
	settleTime = 400 * time.Millisecond
	// releaseAfter is how long less must be offered than admitted until a limit ends.
	releaseAfter = 2 * time.Second
	// leastLimit is the least limit of a group, per second. Beside it a host may always
	// have one request in flight, see Group.
	leastLimit = 0.5
)

// observation is what was measured about a group since its limit last fell.
type observation struct {
	// offered, completed and inTime are rates per second.
	offered   float64
	completed float64
	inTime    float64
	// ended, late and delayed are numbers of results.
	ended   int
	late    int
	delayed int
	// inFlight is the number of requests in flight.
	inFlight int
}

// limiter finds the rate at which a group is served in time by additive increase and
// multiplicative decrease.
type limiter struct {
	// limit is the admitted rate per second, 0 while there is no limit.
	limit float64
	// reached is the limit after the last rise or cut.
	reached float64
	// calm is the number of steps up since requests were last late.
	calm int
	// served is what was completed per second when calls last queued.
	served float64
	// cutAt is when the limit was last cut and drainUntil until when less is admitted after
	// it. nextStep is when the limit may change again.
	cutAt      time.Time
	drainUntil time.Time
	nextStep   time.Time
	// exceededAt is when more was last offered than admitted.
	exceededAt time.Time
}

// rate returns the admitted rate at now.
func (l *limiter) rate(now time.Time) float64 {
	if now.Before(l.drainUntil) {
		return l.limit * drainShare
	}
	return l.limit
}

func (l *limiter) limited() bool { return l.limit > 0 }

// overloaded reports whether enough results are late.
func (o *observation) overloaded(late int, share float64) bool {
	return o.late >= late && float64(o.late) >= share*float64(o.ended)
}

// detect sets a limit if the group is overloaded, by the results of a shorter and those of
// a longer window.
func (l *limiter) detect(now time.Time, o, longer observation) {
	if !o.overloaded(leastLate, mostLate) || !longer.overloaded(leastLate, mostLate) {
		return
	}
	l.exceededAt = now
	l.limit = o.completed
	l.cut(now, o)
}

// adjust changes a limit in force according to the results under it.
func (l *limiter) adjust(now time.Time, o observation) {
	if o.offered >= l.limit {
		l.exceededAt = now
	}
	if now.Sub(l.exceededAt) >= releaseAfter {
		*l = limiter{}
		return
	}
	if now.Before(l.nextStep) {
		return
	}
	l.nextStep = now.Add(stepInterval)
	queued := float64(o.delayed + o.late)
	switch {
	case o.overloaded(limitedLate, lateShare):
		l.cut(now, o)
	case queued > queueShare*float64(o.ended):
		l.served = min(l.limit, o.completed)
		lowered := min(l.limit, max(o.completed, leastLimit)) * (1 - lower)
		l.limit = max(lowered, l.reached*lowerLeast, leastLimit)
	case float64(o.late) <= fewLate*float64(o.ended) && o.completed >= usedShare*l.limit || l.limit <= leastLimit:
		l.limit = max(l.limit, o.inTime) * (1 + l.step())
		l.reached = l.limit
		l.calm++
	}
	if o.late > 0 {
		l.calm = 0
	}
}

// step returns the next step up. After some steps without late requests the capacity is
// larger, for example since slow targets have recovered.
func (l *limiter) step() float64 {
	if l.limit < regainShare*l.served || l.calm >= calmSteps {
		return regain
	}
	return raise
}

// cut lowers the limit from what was completed towards what was in time, the more the
// larger the share of late results is, and lets the queue drain.
func (l *limiter) cut(now time.Time, o observation) {
	share := float64(o.late) / float64(max(o.ended, 1))
	capacity := min(l.limit, max(o.completed, leastLimit))
	l.served = capacity
	l.limit = max(capacity*(1-cutWeight*share), min(o.inTime, capacity), leastLimit)
	l.reached = l.limit
	wait := drainMost
	if o.completed > 0 {
		wait = time.Duration(min(float64(o.inFlight)/o.completed*float64(time.Second), float64(drainMost)))
	}
	l.cutAt = now
	l.drainUntil = now.Add(max(wait, drainLeast))
	l.nextStep = l.drainUntil.Add(settleTime)
}
