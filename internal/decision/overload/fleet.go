package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fleetSlices slices of fleetSlice each, the interval of reports, form the window of
	// the fleet's totals.
	fleetSlices = 3
	fleetSlice  = 400 * time.Millisecond
	// MaxEntries bounds the entries of one host's report.
	MaxEntries = 64
	// maxShares bounds the entries that are sent to hosts, and the streams of the totals.
	maxShares = 256
)

// Fleet sums up the reports of all hosts and divides the capacity among all streams. The
// zero value is ready for use.
type Fleet struct {
	groups map[string]*fleetGroup
	// began is the start of the first slice: steps of the wall clock don't count.
	began time.Time
}

// fleetGroup has the totals of one group.
type fleetGroup struct {
	slices [fleetSlices + 1]map[Stream]Counts
	newest int64
}

// Add adds the report of one host, or of another reader for the hosts that follow it.
func (f *Fleet) Add(now time.Time, entries []Entry) {
	if f.groups == nil {
		f.groups, f.began = map[string]*fleetGroup{}, now.Add(-(fleetSlices+1)*fleetSlice)
	}
	newest := f.slice(now)
	for i := range entries {
		e := &entries[i]
		g, ok := f.groups[e.Group]
		if !ok {
			if len(f.groups) >= maxShares {
				continue
			}
			g = &fleetGroup{}
			f.groups[e.Group] = g
		}
		g.advance(newest)
		current := g.slices[g.newest%int64(len(g.slices))]
		if _, known := current[e.Stream()]; !known && len(current) >= maxShares {
			continue
		}
		c := current[e.Stream()]
		c.plus(e.Counts)
		current[e.Stream()] = c
	}
}

// Shares returns the totals and the admitted share of each stream, sorted by group and
// stream. It is to be called at each heartbeat. A group without reports is dropped.
func (f *Fleet) Shares(now time.Time) []Share {
	var list []Share
	for name, g := range f.groups {
		g.advance(f.slice(now))
		totals := g.totals()
		if len(totals) == 0 {
			if len(g.slices[g.newest%int64(len(g.slices))]) == 0 {
				delete(f.groups, name)
			}
			continue
		}
		list = append(list, g.shares(name, totals)...)
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Domain, b.Domain))
	})
	return list[:min(len(list), maxShares)]
}

// slice returns the number of the slice of now. The first report is in a slice that has a
// whole window before it.
func (f *Fleet) slice(now time.Time) int64 { return int64(now.Sub(f.began) / fleetSlice) }

// advance clears the slices that are no longer in the window.
func (g *fleetGroup) advance(newest int64) {
	size := int64(len(g.slices))
	for n := max(g.newest+1, newest-size+1); n <= newest; n++ {
		g.slices[n%size] = map[Stream]Counts{}
	}
	g.newest = max(newest, g.newest)
}

// totals sums up the complete slices of the window.
func (g *fleetGroup) totals() map[Stream]Counts {
	sums := map[Stream]Counts{}
	for i := int64(1); i <= fleetSlices; i++ {
		for key, c := range g.slices[(g.newest-i)%int64(len(g.slices))] {
			sum := sums[key]
			sum.plus(c)
			sums[key] = sum
		}
	}
	return sums
}

// shares divides what the hosts' limits allow in sum. Hosts find their limits by
// themselves; where one serves more urgent callers than the others, the others admit less,
// and its limit rises.
func (g *fleetGroup) shares(name string, totals map[Stream]Counts) []Share {
	var sum Counts
	demands := make([]Demand, 0, len(totals))
	for key, c := range totals {
		sum.plus(c)
		demands = append(demands, Demand{Stream: key, Fresh: float64(c.Offered - c.Returning), Returning: float64(c.Returning)})
	}
	limited := sum.Allowed < wholeShare*float64(sum.Offered)
	plan := Divide(sum.Allowed*planned, demands)
	list := make([]Share, 0, len(totals))
	for key, c := range totals {
		share := Share{Entry: Entry{Group: name, Rank: key.Rank, Domain: key.Domain, Counts: c}, Limited: limited}
		if limited {
			ratios := plan.Of(key)
			share.Fresh, share.Returning = ratios.Fresh, ratios.Returning
		}
		list = append(list, share)
	}
	return list
}
