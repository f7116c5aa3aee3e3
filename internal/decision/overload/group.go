package overload

import "time"

const (
	// expireAfter is how long a host without any event, such as a frozen one, keeps its
	// limit.
	expireAfter = 2 * time.Second
	// frozenAfter is the time without any event from which on a host was frozen. What was in
	// flight is late for that reason.
	frozenAfter = 700 * time.Millisecond
	// workMemory is the weight that the known most work keeps against a smaller one.
	workMemory = 0.99
	// leastWeight is the least weight of a request: each costs more than its work.
	leastWeight = 0.1
	// rankInterval is the time within which a rank gets at least one request.
	rankInterval = time.Second
)

// Group decides which requests to one group of targets a host admits. The zero value is
// not usable; see NewGroup.
type Group struct {
	limiter  limiter
	results  window
	inFlight inFlight
	// admitted is when a request of a rank was last admitted.
	admitted map[int]time.Time
	// work is the most work of one request, objective the longest one.
	work      time.Duration
	objective time.Duration
	// began and last are the times of the first and the last event, thawed the end of the
	// host's last freeze.
	began  time.Time
	last   time.Time
	thawed time.Time
	// refusals counts the refused requests, to spread their callers' return.
	refusals int
}

// NewGroup returns a group without a limit.
func NewGroup(now time.Time) *Group {
	return &Group{began: now, last: now, inFlight: inFlight{}, admitted: map[int]time.Time{}}
}

// Limited reports whether admission is limited.
func (g *Group) Limited() bool { return g.limiter.limited() }

// Admit decides about a request. The ticket of each admitted one must be passed to Ended.
func (g *Group) Admit(now time.Time, r Request) Admission {
	g.Advance(now)
	g.objective = max(r.Objective, g.objective)
	t := Ticket{rank: r.Rank, weight: g.weight(r.Work), admitted: now}
	if !g.admits(t) {
		g.limiter.refusedAt = now
		g.refusals++
		return Admission{RetryAfter: retryAfter(r.Left, g.refusals)}
	}
	g.inFlight.add(t)
	g.admitted[r.Rank] = now
	g.limiter.peak = max(g.limiter.peak, g.inFlight.total())
	return Admission{Admitted: true, Ticket: t}
}

// weight returns the work of a request relative to the most work of one request.
func (g *Group) weight(work time.Duration) float64 {
	if work <= 0 {
		return 1
	}
	g.work = max(work, time.Duration(workMemory*float64(g.work)+(1-workMemory)*float64(work)))
	return max(float64(work)/float64(g.work), leastWeight)
}

// admits reports whether a request fits into the limit beside those in flight that are at
// least as urgent. Each rank gets one request for each rankInterval.
func (g *Group) admits(t Ticket) bool {
	if g.limiter.fits(t.admitted, g.inFlight.upTo(t.rank), t.weight) {
		return true
	}
	return g.inFlight[t.rank] == 0 && t.admitted.Sub(g.admitted[t.rank]) >= rankInterval
}

// Ended records the end of an admitted request. One that was admitted before the last cut
// of the limit, or before a freeze of the host, tells nothing about the limit in force.
func (g *Group) Ended(now time.Time, t Ticket, result Result) {
	g.Advance(now)
	g.inFlight.remove(t)
	g.limiter.ended(now, t.weight, now.Sub(t.admitted))
	if result == Excused || t.admitted.Before(g.limiter.cutAt) || t.admitted.Before(g.thawed) {
		return
	}
	g.results.add(result == Overdue)
}

// Advance takes the limit to now. It is implied by Admit and Ended.
func (g *Group) Advance(now time.Time) {
	idle := now.Sub(g.last)
	if idle >= frozenAfter {
		g.thawed = now
	}
	if idle >= expireAfter {
		g.limiter = limiter{}
	}
	if idle > 0 {
		g.last = now
	}
	slice := int64(now.Sub(g.began) / sliceLength)
	if slice <= g.results.newest {
		return
	}
	g.results.advance(slice)
	g.limiter.step(now, g.results.sum(detectSlices), g.results.sum(windowSlices), g.objective)
}

// Status describes a group for logs and metrics.
type Status struct {
	// Limit is the bound on the work in flight, 0 for none, and InFlight that work, in units
	// of the most work of one request.
	Limit    float64
	InFlight float64
}

// Status returns the state of the group.
func (g *Group) Status() Status {
	return Status{Limit: g.limiter.limit, InFlight: g.inFlight.total()}
}
