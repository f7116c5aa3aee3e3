package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// dice is a seeded source of random decisions for many goroutines.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{rng: rand.New(rand.NewPCG(seed, seed))} }

// hit returns true in a share of calls.
func (d *dice) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < share
}

func (d *dice) normal() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.NormFloat64()
}

// latency draws how long one exchange takes under f, set at since.
func (d *dice) latency(f *Faults, since time.Time) time.Duration {
	if f.LatencyMedianUS <= 0 {
		return 0
	}
	took := float64(f.LatencyMedianUS)
	if f.LatencySigma > 0 {
		took *= math.Exp(f.LatencySigma * d.normal())
	}
	if d.hit(f.StragglerShare) {
		took *= f.StragglerFactor
	}
	cold := time.Duration(f.ColdMS) * time.Millisecond
	if age := time.Since(since); age < cold && f.ColdFactor > 1 {
		took *= f.ColdFactor - (f.ColdFactor-1)*float64(age)/float64(cold)
	}
	return time.Duration(took * float64(time.Microsecond))
}
