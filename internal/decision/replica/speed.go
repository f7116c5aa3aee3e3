package replica

import (
	"math"
	"time"
)

const (
	// speedMemory is the time over which the speed is a mean. In its first minute it is
	// the mean since the first sample, but at least over speedMemoryFirst.
	speedMemory      = time.Minute
	speedMemoryFirst = 10 * time.Second
	// speedGap bounds the time that one sample stands for, so that the rare samples of an
	// avoided target don't count for the time between them.
	speedGap = 2 * time.Second
	// speedCap bounds each sample, which limits the effect of pauses that are not
	// predicted.
	speedCap = 2.5
	// speedHalfLife is the half-life of the speed of a target without samples for longer
	// than speedGap.
	speedHalfLife = 3 * time.Minute
)

// speed is what a target usually takes, relative to the expected time: targets differ by
// their machines. It is kept for minutes, unlike slowness. The zero value is a target of
// the expected speed.
type speed struct {
	// excess is the mean less 1.
	excess  float64
	first   time.Time
	updated time.Time
}

// at returns the speed as of now.
func (s *speed) at(now time.Time) float64 {
	if s.updated.IsZero() {
		return 1
	}
	idle := now.Sub(s.updated) - speedGap
	if idle <= 0 {
		return 1 + s.excess
	}
	return 1 + s.excess*math.Exp2(-float64(idle)/float64(speedHalfLife))
}

// observe adds a sample.
func (s *speed) observe(now time.Time, ratio float64) {
	if s.updated.IsZero() {
		s.first, s.updated = now, now
		return
	}
	stands := min(now.Sub(s.updated), speedGap)
	memory := min(max(now.Sub(s.first), speedMemoryFirst), speedMemory)
	mean := s.at(now)
	mean += float64(stands) / float64(stands+memory) * (min(ratio, speedCap) - mean)
	s.excess, s.updated = mean-1, now
}
