package replica

import "time"

// Estimate is the time until a target would answer a request sent now, from
// its speed and the requests that wait for its connections in this host.
func Estimate(l Load, usual time.Duration) time.Duration {
	work := l.Slowness * float64(usual)
	if l.Room > 0 || l.Limit <= 0 {
		return time.Duration(work)
	}
	rounds := float64(1-l.Room) / float64(l.Limit)
	return time.Duration(work * (1 + rounds))
}

// Overrun reports whether a request sent now would wait in this host's queue
// and be answered later than within. A target with a free connection is never
// overrun, however slow: some requests must go on to show when it is fast again.
//
// It answers more load than the targets' slots carry: requests that would be
// late are refused while nothing of them has run, and the others are in time.
func Overrun(l Load, usual, within time.Duration) bool {
	return l.Room <= 0 && Estimate(l, usual) > within
}
