package load

import (
	"math/rand/v2"
	"time"
)

// arrivals yields intended arrival times and picks from the mix, the same for
// the same seed.
type arrivals struct {
	rng    *rand.Rand
	run    *Run
	total  float64
	offset float64
}

func newArrivals(run *Run) *arrivals {
	a := &arrivals{rng: rand.New(rand.NewPCG(run.Seed, run.Seed)), run: run}
	for _, share := range run.Mix {
		a.total += share.Weight
	}
	return a
}

// next returns the next arrival, counted from the start of the run.
func (a *arrivals) next() time.Duration {
	gap := 1 / a.run.Rate
	if a.run.Arrivals == Poisson {
		gap *= a.rng.ExpFloat64()
	}
	a.offset += gap
	return time.Duration(a.offset * float64(time.Second))
}

// pick chooses a share by weight.
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
