package replica

import "time"

const (
	// lateStreak is how many late exchanges in a row begin the pacing: one
	// pause of a target makes one or two.
	lateStreak = 3
	// paceRise multiplies the interval after a late exchange, paceFall after
	// one in time.
	paceRise = 1.6
	paceFall = 0.6
	// paceFirst is the first interval, paceLast the longest.
	paceFirst = 40 * time.Millisecond
	paceLast  = 800 * time.Millisecond
	// paceEnd is the interval below which the pacing ends.
	paceEnd = 12 * time.Millisecond
)

// Pacer spaces the requests to a target that answers all of them too late. It
// answers the load of a shard whose only replica is slow or overrun: with all
// requests in its queue none is in time, with fewer those are that it gets.
// Hosts need not know of each other, as each follows what its own requests see.
type Pacer struct {
	interval time.Duration
	next     time.Time
	late     int
}

// Holds reports whether a request now would come too soon after the last.
func (p *Pacer) Holds(now time.Time) bool { return p.interval > 0 && now.Before(p.next) }

// Sent notes that a request was sent.
func (p *Pacer) Sent(now time.Time) { p.next = now.Add(p.interval) }

// Ended notes whether an exchange was too late for its caller.
func (p *Pacer) Ended(late bool) {
	if !late {
		p.late = 0
		p.interval = time.Duration(paceFall * float64(p.interval))
		if p.interval < paceEnd {
			p.interval = 0
		}
		return
	}
	p.late++
	switch {
	case p.interval > 0:
		p.interval = min(time.Duration(paceRise*float64(p.interval)), paceLast)
	case p.late >= lateStreak:
		p.interval = paceFirst
	}
}
