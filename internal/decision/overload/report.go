package overload

import "time"

// Counts counts the requests of a stream since the last report.
type Counts struct {
	Offered   int `cbor:"4,keyasint,omitempty"`
	Returning int `cbor:"5,keyasint,omitempty"`
	Admitted  int `cbor:"6,keyasint,omitempty"`
	InTime    int `cbor:"7,keyasint,omitempty"`
	// Late are those that were late, failed or refused because of queueing.
	Late int `cbor:"8,keyasint,omitempty"`
	// Delayed are those in time whose calls were queued. They also count as InTime.
	Delayed int `cbor:"9,keyasint,omitempty"`
	// Allowed is how many requests the host's limit allowed, divided among the entries of
	// one report; without a limit those offered.
	Allowed float64 `cbor:"13,keyasint,omitempty"`
}

func (c *Counts) add(result Result) {
	switch result {
	case InTime:
		c.InTime++
	case Delayed:
		c.InTime++
		c.Delayed++
	case Overdue, Unserved:
		c.Late++
	}
}

// Plus returns the sum of c and other.
func (c Counts) Plus(other Counts) Counts {
	c.plus(other)
	return c
}

func (c *Counts) plus(other Counts) {
	c.Offered += other.Offered
	c.Returning += other.Returning
	c.Admitted += other.Admitted
	c.InTime += other.InTime
	c.Late += other.Late
	c.Delayed += other.Delayed
	c.Allowed += other.Allowed
}

// Entry is one stream's counts in a report.
type Entry struct {
	Group  string `cbor:"1,keyasint"`
	Rank   int    `cbor:"2,keyasint,omitempty"`
	Domain string `cbor:"3,keyasint,omitempty"`
	Counts
}

// Stream returns the stream of the entry.
func (e *Entry) Stream() Stream { return Stream{Rank: e.Rank, Domain: e.Domain} }

// reportAge is the longest time that one report covers. After a longer time without a
// report the counts are discarded, since they would look like a burst.
const reportAge = time.Second

// Take returns and resets the counts of all streams with requests.
func (g *Group) Take(now time.Time, name string) []Entry {
	g.Advance(now)
	covered := now.Sub(g.takenAt)
	g.takenAt = now
	var entries []Entry
	for key, s := range g.streams {
		if s.counts != (Counts{}) && covered <= reportAge {
			entries = append(entries, Entry{Group: name, Rank: key.Rank, Domain: key.Domain, Counts: s.counts})
		}
		s.counts = Counts{}
	}
	for i := range entries {
		entries[i].Allowed = float64(entries[i].Offered)
		if g.limiter.limited() {
			entries[i].Allowed = g.limiter.limit * covered.Seconds() / float64(len(entries))
		}
	}
	return entries
}

// Status describes a group for logs and metrics.
type Status struct {
	Limited bool
	// Limit, Offered, Completed and InTime are rates per second; Limit is 0 if only the
	// fleet's shares apply.
	Limit     float64
	Offered   float64
	Completed float64
	InTime    float64
	InFlight  int
	// Fleet is set while the fleet's shares are in use.
	Fleet bool
	// ByRank is the part of the limit that each rank gets; it must not be changed.
	ByRank map[int]float64
}

// Status returns the state of the group.
func (g *Group) Status(now time.Time) Status {
	o := g.observe(demandSlices)
	return Status{
		Limited: g.Limited(now), Limit: g.limiter.limit, Offered: o.offered, Completed: o.completed, InTime: o.inTime,
		InFlight: g.inFlight, Fleet: g.fleet.limited(now), ByRank: g.plan.parts,
	}
}
