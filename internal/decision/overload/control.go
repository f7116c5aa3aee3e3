package overload

import "time"

// planned is the part of the limit that is divided among streams. It exceeds the limit,
// which is enforced as a whole, so that the limit is used although demands vary.
const planned = 1.1

// enoughEnded is the number of results from which on the shorter window is used while a
// limit is in force.
const enoughEnded = 12

// stretchMost bounds by how much a host exceeds the fleet's shares within its own limit.
const stretchMost = 1.25

// control updates the limit and the shares of all streams at the start of a slice.
func (g *Group) control(now time.Time) {
	if !g.limiter.limited() {
		if g.meanBusy() > leastBusy {
			g.limiter.detect(now, g.observe(detectSlices), g.observe(demandSlices))
		}
		g.credit, g.creditAt = 0, now
	} else {
		g.limiter.adjust(now, g.observeLimited())
	}
	if g.Limited(now) {
		g.divide(now)
	}
}

// known returns how many of the last slices have passed since the start.
func (g *Group) known(slices int) int { return max(min(slices, int(g.slice)), 1) }

// meanBusy returns the mean number of requests in flight.
func (g *Group) meanBusy() float64 {
	n := g.known(detectSlices)
	total := time.Duration(0)
	for i := range n {
		total += g.busy[(g.slice-1-int64(i))%int64(len(g.busy))]
	}
	return total.Seconds() / (float64(n) * sliceLength.Seconds())
}

// observe sums up the last slices.
func (g *Group) observe(slices int) observation {
	n := g.known(slices)
	per := 1 / (float64(n) * sliceLength.Seconds())
	return observation{
		offered:   float64(g.offered.sum(g.slice, n)) * per,
		completed: float64(g.results.completed.sum(g.slice, n)) * per,
		inTime:    float64(g.results.inTime.sum(g.slice, n)) * per,
		inFlight:  g.inFlight,
		ended:     g.results.ended.sum(g.slice, n), late: g.results.late.sum(g.slice, n), delayed: g.results.delayed.sum(g.slice, n),
	}
}

// observeLimited returns the rates of the longer window with the results of the shorter
// one, if that has enough.
func (g *Group) observeLimited() observation {
	o := g.observe(demandSlices)
	if recent := g.observe(detectSlices); recent.ended >= enoughEnded {
		o.ended, o.late, o.delayed = recent.ended, recent.late, recent.delayed
	}
	return o
}

// divide sets the shares of all streams.
func (g *Group) divide(now time.Time) {
	g.plan = Plan{}
	if g.limiter.limited() {
		demands := make([]Demand, 0, len(g.streams))
		for key, s := range g.streams {
			demands = append(demands, Demand{Stream: key, Fresh: s.fresh.rate, Returning: s.returning.rate})
		}
		g.plan = Divide(g.limiter.rate(now)*planned, demands)
	}
	g.stretch = g.stretchShares(now)
	for key, s := range g.streams {
		s.setRatios(g.ratios(key, now))
	}
}

// ratios returns the shares of a stream: the fleet's where they are known, otherwise those
// that follow from the demand at this host.
func (g *Group) ratios(key Stream, now time.Time) Ratios {
	if share, ok := g.fleet.of(key, now); ok {
		return Ratios{Fresh: min(share.Fresh*g.stretch, 1), Returning: min(share.Returning*g.stretch, 1)}
	}
	return g.plan.Of(key)
}

// stretchShares returns by how much the fleet's shares are raised at this host, so that it
// uses its limit although this was found at another mix of callers.
func (g *Group) stretchShares(now time.Time) float64 {
	if !g.limiter.limited() {
		return 1
	}
	admitted := 0.0
	for key, s := range g.streams {
		if share, ok := g.fleet.of(key, now); ok {
			admitted += share.Fresh*s.fresh.rate + share.Returning*s.returning.rate
		}
	}
	if admitted <= 0 {
		return 1
	}
	return min(max(g.limiter.rate(now)*planned/admitted, 1), stretchMost)
}
