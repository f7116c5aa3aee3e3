package load

import (
	"math/rand/v2"
	"time"
)

// arrivals generates the intended arrival times of a run and picks the kind of
// each query. Equal seeds yield equal sequences.
type arrivals struct {
	rng *rand.Rand
	run *Run
	// total is the sum of the weights in the mix.
	total float64
	// offset is the latest arrival, in seconds from the start of the run.
	offset float64
}

func newArrivals(run *Run) *arrivals {
	a := &arrivals{rng: rand.New(rand.NewPCG(run.Seed, run.Seed)), run: run}
	for _, share := range run.Mix {
		a.total += share.Weight
	}
	return a
}

// next returns the time of the next arrival, relative to the start of the run.
func (a *arrivals) next() time.Duration {
	gap := 1 / a.run.Rate
	if a.run.Arrivals == Poisson {
		gap *= a.rng.ExpFloat64()
	}
	a.offset += gap
	return time.Duration(a.offset * float64(time.Second))
}

// pick chooses an entry of the mix at random, by weight.
func (a *arrivals) pick() *Share {
	at := a.rng.Float64() * a.total
	for i := range a.run.Mix {
		at -= a.run.Mix[i].Weight
		if at < 0 {
			return &a.run.Mix[i]
		}
	}
	return &a.run.Mix[len(a.run.Mix)-1]
}
