package overload

import "time"

const (
	// maxStreams bounds the streams of a group; further ones are counted as the last.
	maxStreams = 64
	// expireAfter is how long a host without any event, such as a frozen one, keeps its
	// limits.
	expireAfter = 2 * time.Second
	// frozenAfter is the time without any event, reports included, from which on a host was
	// frozen. What was in flight is late for that reason.
	frozenAfter = 700 * time.Millisecond
	// burst is how long the unused part of the limit is kept.
	burst = 100 * time.Millisecond
	// debt bounds how long requests within their share may exceed the limit.
	debt = 250 * time.Millisecond
	// idleGapMost and idleDoublings bound the time between two requests of an idle host.
	idleGapMost   = time.Second
	idleDoublings = 3
	// leastBusy is the mean number of requests in flight below which a limit would be
	// without effect, since one may always be in flight.
	leastBusy = 1
)

// Group decides which requests to one group of targets a host admits. The zero value is
// not usable; see NewGroup.
type Group struct {
	limiter limiter
	// slice is the newest slice, counted from began.
	began time.Time
	slice int64
	last  time.Time
	// thawed is the end of the last freeze of the host.
	thawed  time.Time
	streams map[Stream]*stream
	results results
	// busy is the sum of the durations in each slice, over all requests in flight.
	busy     [demandSlices + 1]time.Duration
	inFlight int
	// admitted is when a request was last admitted, and lateInRow how many have ended since
	// the last one in time.
	admitted  time.Time
	lateInRow int
	// plan is the division of the limit in force.
	plan Plan
	// credit is how many more requests the limit allows at creditAt.
	credit   float64
	creditAt time.Time
	offered  ring
	refused  ring
	refusals int
	fleet    shares
	// stretch raises the fleet's shares, see stretchShares.
	stretch float64
	takenAt time.Time
}

// NewGroup returns a group without a limit.
func NewGroup(now time.Time) *Group {
	return &Group{began: now, last: now, streams: map[Stream]*stream{}, stretch: 1}
}

// Limited reports whether admission is limited, by this host's observations or by those
// of the fleet.
func (g *Group) Limited(now time.Time) bool { return g.limiter.limited() || g.fleet.limited(now) }

// Admit decides about a request. Each admitted one must be passed to Ended.
func (g *Group) Admit(now time.Time, r Request) Admission {
	g.Advance(now)
	s := g.streamOf(now, r.Stream)
	s.offer(g.slice, r.Returning)
	g.offered.add(g.slice)
	if !g.admits(now, s, r) {
		s.refusedAt = now
		g.refused.add(g.slice)
		g.refusals++
		after := retryAfter(g.refused.sum(g.slice+1, demandSlices), g.limiter.limit, r.Left, g.refusals)
		return Admission{RetryAfter: after}
	}
	s.counts.Admitted++
	g.inFlight++
	g.admitted = now
	return Admission{Admitted: true}
}

// admits decides by the stream's share and the limit. A request within a share that
// covers the whole demand is admitted; others need a credit of their stream and one of
// this host's limit. If nothing is in flight and none was admitted for idleGap, a request
// is admitted unless a more urgent one was refused.
func (g *Group) admits(now time.Time, s *stream, r Request) bool {
	if !g.Limited(now) {
		return true
	}
	g.refill(now)
	a := s.attempts(r.Returning)
	switch {
	case a.ratio >= 1:
	case a.credit >= 1 && (!g.limiter.limited() || g.credit >= 0):
		a.credit--
	case g.inFlight == 0 && now.Sub(g.admitted) >= g.idleGap(r.Objective) && !g.refusedMoreUrgent(now, r.Rank):
	default:
		return false
	}
	g.credit = max(g.credit-1, -1-g.limiter.limit*debt.Seconds())
	return true
}

// idleGap returns the time after which an idle host admits a request beyond its limit: an
// objective, so that one request is kept in flight. While even these are late behind other
// hosts' queues, the gap doubles up to idleGapMost: many hosts with one request each may
// exceed what the targets serve in time.
func (g *Group) idleGap(objective time.Duration) time.Duration {
	return min(objective<<min(g.lateInRow, idleDoublings), max(idleGapMost, objective))
}

func (g *Group) refill(now time.Time) {
	rate := g.limiter.rate(now)
	g.credit = min(g.credit+rate*now.Sub(g.creditAt).Seconds(), 1+rate*burst.Seconds())
	g.creditAt = now
}

// refusedMoreUrgent reports whether a more urgent request was refused recently.
func (g *Group) refusedMoreUrgent(now time.Time, rank int) bool {
	for key, s := range g.streams {
		if key.Rank < rank && now.Sub(s.refusedAt) < detectSlices*sliceLength {
			return true
		}
	}
	return false
}

// Ended records the end of an admitted request.
func (g *Group) Ended(now time.Time, key Stream, admitted time.Time, result Result) {
	g.Advance(now)
	g.inFlight = max(g.inFlight-1, 0)
	g.results.add(g.slice, result, admitted.Before(g.limiter.cutAt) || admitted.Before(g.thawed))
	g.streamOf(now, key).counts.add(result)
	switch result {
	case InTime, Delayed:
		g.lateInRow = 0
	case Overdue, Unserved:
		g.lateInRow++
	}
}

// streamOf returns the state of a stream.
func (g *Group) streamOf(now time.Time, key Stream) *stream {
	s, ok := g.streams[key]
	if ok {
		return s
	}
	if len(g.streams) >= maxStreams {
		key = Stream{Rank: key.Rank}
		if s, ok = g.streams[key]; ok {
			return s
		}
	}
	s = newStream(g.slice, g.ratios(key, now))
	g.streams[key] = s
	return s
}

// Advance begins the slice of now, which may change the limit. It is implied by Admit
// and Ended.
func (g *Group) Advance(now time.Time) {
	if now.Sub(g.last) >= expireAfter {
		g.restart(now)
	}
	slice := int64(now.Sub(g.began) / sliceLength)
	if slice <= g.slice {
		g.addBusy(now)
		return
	}
	g.addBusy(now)
	for n := max(g.slice+1, slice-demandSlices); n <= slice; n++ {
		g.clear(n)
	}
	g.slice = slice
	g.control(now)
}

// addBusy adds the time since the last event to the newest slice.
func (g *Group) addBusy(now time.Time) {
	if now.Sub(g.last) >= frozenAfter {
		g.last, g.thawed = now, now
	}
	if now.After(g.last) {
		g.busy[g.slice%int64(len(g.busy))] += now.Sub(g.last) * time.Duration(g.inFlight)
		g.last = now
	}
}

// restart forgets all but the requests in flight and the fleet's shares.
func (g *Group) restart(now time.Time) {
	inFlight, fleet := g.inFlight, g.fleet
	*g = *NewGroup(now)
	g.inFlight, g.fleet, g.thawed = inFlight, fleet, now
}

// clear begins a slice.
func (g *Group) clear(slice int64) {
	g.results.clear(slice)
	g.offered.clear(slice)
	g.refused.clear(slice)
	g.busy[slice%int64(len(g.busy))] = 0
	for key, s := range g.streams {
		s.close(slice - 1)
		if slice-s.seen > streamSlices {
			delete(g.streams, key)
		}
	}
}
