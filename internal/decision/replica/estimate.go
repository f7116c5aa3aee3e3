package replica

import "time"

// Estimate returns the expected time until a target answers a request sent now.
//
// It answers the load of callers that arrive faster than the target serves them. With
// calls in the host's queue, the rate at which the target has worked off the queue so
// far counts. Until that is known, the target is assumed to take the usual time for
// each call and to serve as many at once as it has slots and the host connections.
// While the target's own report of its load is fresh, the queue at the target counts
// instead, behind which each connection of the host works off its part of the host's queue.
// A predicted pause adds the time that the request spends in it.
func Estimate(l Load, usual time.Duration) time.Duration {
	took := estimate(l, usual)
	return took + l.ForeseenStall.Extra(took)
}

// estimate is Estimate without predicted pauses.
func estimate(l Load, usual time.Duration) time.Duration {
	observed := estimateObserved(l, usual)
	if l.Reported.Weight <= 0 {
		return observed
	}
	once := (l.slowness() + l.Reported.Wait) * float64(usual)
	rounds := 1.0
	if l.Room <= 0 && l.Limit > 0 {
		rounds += float64(1-l.Room) / float64(l.Limit)
	}
	return time.Duration(l.Reported.blend(once*rounds, float64(observed)))
}

// estimateObserved is Estimate from the host's own observations.
func estimateObserved(l Load, usual time.Duration) time.Duration {
	work := l.Slowness * float64(usual)
	if l.Room > 0 || l.Limit <= 0 {
		return time.Duration(work)
	}
	calls := 1 - l.Room
	if l.DrainInterval > 0 {
		return time.Duration(calls+l.Limit) * l.DrainInterval
	}
	atOnce := l.Limit
	if l.Slots > 0 {
		atOnce = min(l.Limit, l.Slots)
	}
	ahead := calls + l.Limit - atOnce
	// The first slowness of a target is relative to a default and may be far too low.
	work = max(l.Slowness, 1) * float64(usual)
	return time.Duration(work * (1 + float64(ahead)/float64(atOnce)))
}

// QueueExceeds reports whether a request sent now would wait in this host's queue
// and take longer than within. It is false for any target with a free connection,
// however slow, because a recovery can only be detected from replies. The exception is a
// target that has just reported a queue that alone takes longer: the report loses its
// effect within reportHalfLife.
//
// Under overload, refusing such requests before any work on them starts keeps the
// others in time.
func QueueExceeds(l Load, usual, within time.Duration) bool {
	if l.Room > 0 {
		wait := l.Reported.Weight * l.Reported.Wait * float64(usual)
		return l.Reported.Weight >= refusalWeight && wait > float64(within)
	}
	return Estimate(l, usual) > within
}
