package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource is a seeded source of random decisions, safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rng: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with probability share.
func (r *randomSource) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < share
}

func (r *randomSource) normal() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.NormFloat64()
}

// latency draws the latency of one exchange under the faults f, set at since.
func (r *randomSource) latency(f *Faults, since time.Time) time.Duration {
	if f.LatencyMedianUS <= 0 {
		return 0
	}
	micros := float64(f.LatencyMedianUS)
	if f.LatencySigma > 0 {
		micros *= math.Exp(f.LatencySigma * r.normal())
	}
	if r.chance(f.StragglerShare) {
		micros *= f.StragglerFactor
	}
	cold := time.Duration(f.ColdMS) * time.Millisecond
	if age := time.Since(since); age < cold && f.ColdFactor > 1 {
		micros *= f.ColdFactor - (f.ColdFactor-1)*float64(age)/float64(cold)
	}
	return time.Duration(micros * float64(time.Microsecond))
}
