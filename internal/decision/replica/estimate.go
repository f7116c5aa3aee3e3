package replica

import "time"

// Estimate returns the expected time until a target answers a request sent now.
//
// It answers the load of callers that arrive faster than the target serves them. With
// calls in the host's queue, the rate at which the target has worked off the queue so
// far counts. Until that is known, the target is assumed to take the usual time for
// each call and to serve as many at once as it has slots and the host connections.
// A predicted pause adds the time that the request spends in it.
func Estimate(l Load, usual time.Duration) time.Duration {
	took := estimateObserved(l, usual)
	return took + l.ForeseenStall.Extra(took)
}

// estimateObserved is Estimate without predicted pauses.
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

// estimateReported returns the expected time until an answer by the target's own report of
// its load: behind the queue at the target each connection of the host works off its part of
// the host's queue.
func estimateReported(l Load, usual time.Duration) time.Duration {
	once := (l.slowness() + l.Reported.Wait) * float64(usual)
	rounds := 1.0
	if l.Room <= 0 && l.Limit > 0 {
		rounds += float64(1-l.Room) / float64(l.Limit)
	}
	return time.Duration(once * rounds)
}

// QueueExceeds reports whether a request sent now would wait in a queue and take longer than
// within. For a target with a free connection, however slow, only a queue that it has just
// reported counts, because a recovery can only be detected from replies. For any other one
// the host's own observations count, and a fresh report must agree.
//
// Under overload, refusing such requests before any work on them starts keeps the
// others in time.
func QueueExceeds(l Load, usual, within time.Duration) bool {
	fresh := l.Reported.Weight >= refusalWeight
	if l.Room > 0 {
		return fresh && l.Reported.Wait*float64(usual) > float64(within)
	}
	return Estimate(l, usual) > within && (!fresh || estimateReported(l, usual) > within)
}
