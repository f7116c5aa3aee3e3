package overload

import "time"

const (
	// mostLate is the share of late results from which on leastLate of them are enough to
	// detect overload, in both windows. Fewer are no sign of it: pauses of targets make some
	// requests late, and at the start of a burst requests wait for new connections.
	mostLate  = 0.8
	leastLate = 3
	// limitedLate and lateShare replace them in the longer window while a limit is in force.
	limitedLate = 4
	lateShare   = 0.15
	// fewLate is the share of late results up to which the limit rises.
	fewLate = 0.05
	// cutFirst and cutAgain are the factors of the first and of further cuts.
	cutFirst = 0.6
	cutAgain = 0.75
	// raise is a step up, as a share of the limit, and raiseLeast the least step.
	raise      = 0.1
	raiseLeast = 0.1
	// stepInterval is the time between two steps up.
	stepInterval = 200 * time.Millisecond
	// settleLeast is the least time between a cut and the next step.
	settleLeast = 200 * time.Millisecond
	// releaseAfter is how long a limit must not have refused a request until it ends.
	releaseAfter = 600 * time.Millisecond
	// leastLimit is the least limit. Below 1 one request is in flight for that share of the
	// time: many hosts with one request each may exceed what the targets serve.
	leastLimit = 0.1
	// leastPeak is the least work in flight for which a limit would have an effect.
	leastPeak = 1.0
	// peakMemory is the part of the peak that is kept after each slice without a limit.
	peakMemory = 0.9
)

// limiter bounds the work in flight by additive increase and multiplicative decrease.
type limiter struct {
	// limit is the bound, 0 while there is none.
	limit float64
	// peak is the most work in flight since the last step, without a limit that of about the
	// last second.
	peak float64
	// cutAt is when the limit was last cut, nextStep when it may change again and refusedAt
	// when it last refused a request.
	cutAt     time.Time
	nextStep  time.Time
	refusedAt time.Time
	// freeAt is when the next request may start while the limit is below its work.
	freeAt time.Time
}

func (l *limiter) limited() bool { return l.limit > 0 }

// fits reports whether more work fits beside that in flight.
func (l *limiter) fits(now time.Time, inFlight, more float64) bool {
	if !l.limited() || inFlight+more <= l.limit {
		return true
	}
	return inFlight == 0 && !now.Before(l.freeAt)
}

// ended records that a request which took the given time has ended.
func (l *limiter) ended(now time.Time, work float64, took time.Duration) {
	if l.limited() && work > l.limit {
		l.freeAt = now.Add(time.Duration((work/l.limit - 1) * float64(took)))
	}
}

// step changes the limit by the results of the shorter and the longer window. A request
// takes up to objective until its result shows the effect of a cut.
func (l *limiter) step(now time.Time, recent, longer counts, objective time.Duration) {
	settle := max(objective, settleLeast)
	switch {
	case !l.limited():
		if l.peak > leastPeak && recent.mostlyLate(leastLate, mostLate) && longer.mostlyLate(leastLate, mostLate) {
			l.cut(now, l.peak*cutFirst, settle)
			l.refusedAt = now
			return
		}
		l.peak *= peakMemory
		return
	case now.Sub(l.refusedAt) >= releaseAfter:
		*l = limiter{}
		return
	case now.Before(l.nextStep):
		return
	case longer.mostlyLate(limitedLate, lateShare):
		l.cut(now, min(l.limit, l.peak)*cutAgain, settle)
	case float64(longer.late) <= fewLate*float64(longer.ended):
		l.limit += max(raise*l.limit, raiseLeast)
		l.nextStep = now.Add(stepInterval)
	}
	l.peak = 0
}

func (l *limiter) cut(now time.Time, limit float64, settle time.Duration) {
	l.limit = max(limit, leastLimit)
	l.cutAt = now
	l.nextStep = now.Add(settle)
	l.peak = 0
}
