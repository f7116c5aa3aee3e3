package replica

import (
	"math"
	"time"
)

const (
	// slownessGain is the least weight of a new sample. The longer the last one is ago,
	// the more a new one counts.
	slownessGain = 0.25
	// slownessCap bounds each sample, which limits the effect of a single pause.
	slownessCap = 12
	// slowFrom is the multiple of the speed from which on a sample is slow.
	slowFrom = 1.6
	// presentHalfLife is the half-life of the slowness without new samples: targets are
	// slow for about 600 ms at a time.
	presentHalfLife = 800 * time.Millisecond
)

// slowness is how much longer a target takes at present than expected. Without samples it
// returns to the target's speed, the later the longer the target has been slow: one that
// was slow for seconds is likely to stay so, and each request that finds out is late. The
// zero value has no sample.
type slowness struct {
	ratio   float64
	updated time.Time
	// slowSince is the time of the first of the slow samples since the last one that was
	// not, zero if there is none, and lasted the time from it to the last one.
	slowSince time.Time
	lasted    time.Duration
}

// at returns the slowness as of now of a target with the given speed.
func (s *slowness) at(now time.Time, speed float64) float64 {
	if s.updated.IsZero() {
		return speed
	}
	life := min(max(s.lasted, presentHalfLife), halfLife)
	return speed + (s.ratio-speed)*math.Exp2(-float64(now.Sub(s.updated))/float64(life))
}

// gain returns the weight of a sample at now.
func (s *slowness) gain(now time.Time) float64 {
	switch since := now.Sub(s.updated); {
	case s.updated.IsZero():
		return 1
	case since < presentHalfLife/4:
		return slownessGain
	default:
		return max(slownessGain, 1-math.Exp2(-float64(since)/float64(presentHalfLife)))
	}
}

// observe adds a sample.
func (s *slowness) observe(now time.Time, ratio, speed float64) {
	ratio = min(ratio, slownessCap)
	before := s.at(now, speed)
	s.ratio = before + s.gain(now)*(ratio-before)
	s.updated = now
	switch {
	case ratio < slowFrom*speed:
		s.slowSince, s.lasted = time.Time{}, 0
	case s.slowSince.IsZero():
		s.slowSince = now
	default:
		s.lasted = now.Sub(s.slowSince)
	}
}
