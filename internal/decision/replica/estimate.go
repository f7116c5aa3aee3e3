package replica

import "time"

// Estimate returns the expected time until a target answers a request sent now.
// It depends on the target's speed and on the calls that wait for its connections
// on this host.
func Estimate(l Load, usual time.Duration) time.Duration {
	work := l.Slowness * float64(usual)
	if l.Room > 0 || l.Limit <= 0 {
		return time.Duration(work)
	}
	rounds := float64(1-l.Room) / float64(l.Limit)
	return time.Duration(work * (1 + rounds))
}

// QueueExceeds reports whether a request sent now would wait in this host's queue
// and take longer than within. It is false for any target with a free connection,
// however slow, because a recovery can only be detected from replies.
//
// Under overload, refusing such requests before any work on them starts keeps the
// others in time.
func QueueExceeds(l Load, usual, within time.Duration) bool {
	return l.Room <= 0 && Estimate(l, usual) > within
}
