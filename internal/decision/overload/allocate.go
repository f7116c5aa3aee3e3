package overload

import (
	"cmp"
	"slices"
)

const (
	// floorShare is the share of the capacity that each rank with demand keeps.
	floorShare = 0.1
	// returningShare is the share of a rank's capacity for which callers that were refused
	// before have precedence.
	returningShare = 0.5
	// wholeShare is the share from which on a demand counts as met, despite rounding.
	wholeShare = 0.999
)

// Demand is what a stream asks for, in requests per second.
type Demand struct {
	Stream
	// Fresh are first attempts, Returning those of callers that were refused before.
	Fresh     float64
	Returning float64
}

// Ratios are the shares of a stream's requests that are admitted, between 0 and 1.
type Ratios struct {
	Fresh     float64
	Returning float64
}

// Plan is a division of a capacity among streams.
type Plan struct {
	byStream map[Stream]Ratios
	byRank   map[int]Ratios
	// parts is the capacity of each rank, per second.
	parts map[int]float64
}

// Of returns the shares of a stream, those of its rank if the stream had no demand. All
// requests of a rank without demand are admitted.
func (p *Plan) Of(key Stream) Ratios {
	if r, ok := p.byStream[key]; ok {
		return r
	}
	if r, ok := p.byRank[key.Rank]; ok {
		return r
	}
	return Ratios{Fresh: 1, Returning: 1}
}

// Divide divides a capacity, per second, among streams. A more urgent rank gets its
// demand first. Each less urgent one keeps a floor of a tenth of the capacity, at most its
// part in proportion to the demand: it is never served better than the most urgent one.
// Half of a rank's part goes first to callers that were refused before. The rest is divided
// max-min fairly between the failure domains.
func Divide(capacity float64, demands []Demand) Plan {
	plan := Plan{byStream: make(map[Stream]Ratios, len(demands)), byRank: map[int]Ratios{}}
	byRank := map[int]Demand{}
	for _, d := range demands {
		sum := byRank[d.Rank]
		sum.Fresh += d.Fresh
		sum.Returning += d.Returning
		byRank[d.Rank] = sum
	}
	plan.parts = divideRanks(capacity, byRank)
	for rank, part := range plan.parts {
		sum := byRank[rank]
		again := min(sum.Returning, max(part*returningShare, part-sum.Fresh))
		plan.byRank[rank] = Ratios{Fresh: ratio(part-again, sum.Fresh), Returning: ratio(again, sum.Returning)}
		plan.divideDomains(part-again, rank, demands)
	}
	return plan
}

// divideRanks returns the capacity of each rank with demand.
func divideRanks(capacity float64, byRank map[int]Demand) map[int]float64 {
	total := 0.0
	ranks := make([]int, 0, len(byRank))
	for rank, d := range byRank {
		total += d.Fresh + d.Returning
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	parts := map[int]float64{}
	if total <= 0 {
		return parts
	}
	left := capacity
	least := min(floorShare, 1/float64(len(ranks))) * capacity
	for _, rank := range ranks {
		demand := byRank[rank].Fresh + byRank[rank].Returning
		parts[rank] = min(demand, least, demand/total*capacity)
		left -= parts[rank]
	}
	for _, rank := range ranks {
		more := min(byRank[rank].Fresh+byRank[rank].Returning-parts[rank], max(left, 0))
		parts[rank] += more
		left -= more
	}
	return parts
}

// divideDomains sets the shares of a rank's streams: those whose first attempts ask for
// less than an equal part get what they ask for, the others divide the rest equally.
func (p *Plan) divideDomains(capacity float64, rank int, demands []Demand) {
	var streams []Demand
	for _, d := range demands {
		if d.Rank == rank {
			streams = append(streams, d)
		}
	}
	slices.SortFunc(streams, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Fresh, b.Fresh), cmp.Compare(a.Domain, b.Domain))
	})
	common := p.byRank[rank]
	for n, d := range streams {
		part := min(d.Fresh, capacity/float64(len(streams)-n))
		capacity -= part
		r := common
		if d.Fresh > 0 {
			r.Fresh = ratio(part, d.Fresh)
		}
		p.byStream[d.Stream] = r
	}
}

// ratio returns which share of a demand fits into a part; all if there is no demand.
func ratio(part, demand float64) float64 {
	if demand <= 0 || part >= wholeShare*demand {
		return 1
	}
	return max(part, 0) / demand
}
