package stall

import (
	"math"
	"time"
)

const (
	// MinPeriod is the shortest period that is learnt.
	MinPeriod = 900 * time.Millisecond
	// MaxPeriod is the longest period that is learnt.
	MaxPeriod = 11 * time.Second
	// maxSpan is the greatest difference between two ends from which a period is
	// learnt, and longSpan the least from which candidates are preferred: the error of
	// an end counts the less the more periods are between them.
	maxSpan  = 24 * time.Second
	longSpan = 10 * time.Second
	// tolerance is the greatest deviation of an end from its prediction: an end is known
	// up to about the time of the work, since a reply that a pause interrupted comes
	// anywhere within that time after it. spanShare is the part of a period that bounds
	// the tolerance.
	tolerance = 30 * time.Millisecond
	spanShare = 30
	// minSpans is the least number of differences from which a period is learnt.
	minSpans = 8
	// minEvidence is the least evidence for a period. Random ends reach it for one of the
	// candidates with a probability of about 1e-8: it is an exponent, see evidence.
	minEvidence = 25
	// wholeShare is the share of the evidence for a period with which a multiple of it is
	// preferred: with other late replies beside the pauses a part of the true period may
	// fit slightly more. A wrong multiple has less than half. maxMultiple bounds it.
	wholeShare  = 0.75
	maxMultiple = 4
	// maxSources is the number of differences from which candidates are derived.
	maxSources = 16
	// promising is the share of the best evidence so far with which a candidate is worth
	// an adjustment.
	promising = 0.5
	// refinements is the number of times that a candidate is adjusted to what fits it.
	refinements = 2
)

// fitPeriod returns the period of which more of the differences between ends are
// multiples than by chance, or false if there is none.
func fitPeriod(spans []time.Duration) (time.Duration, bool) {
	if len(spans) < minSpans {
		return 0, false
	}
	period, best := time.Duration(0), 0.0
	for _, source := range sources(spans) {
		for m := (source + MaxPeriod - 1) / MaxPeriod; m > 0 && source/m >= MinPeriod; m++ {
			if evidence(source/m, spans) < promising*best {
				continue
			}
			p := refine(source/m, spans)
			if e := evidence(p, spans); e > best && p >= MinPeriod && p <= MaxPeriod {
				period, best = p, e
			}
		}
	}
	if best < minEvidence {
		return 0, false
	}
	return wholePeriod(period, best, spans), true
}

// wholePeriod returns the longest multiple of a period that has nearly the same evidence,
// or the period itself.
func wholePeriod(period time.Duration, best float64, spans []time.Duration) time.Duration {
	for m := time.Duration(maxMultiple); m > 1; m-- {
		p := refine(m*period, spans)
		if p <= MaxPeriod && evidence(p, spans) >= wholeShare*best {
			return p
		}
	}
	return period
}

// sources returns the differences from which candidates are derived, long ones first.
func sources(spans []time.Duration) []time.Duration {
	found := make([]time.Duration, 0, maxSources)
	for _, long := range []bool{true, false} {
		for _, s := range spans {
			if (s >= longSpan) == long && len(found) < maxSources {
				found = append(found, s)
			}
		}
	}
	return found
}

// toleranceOf returns the tolerance for the difference of two ends. A share of the
// period bounds it, so that few differences fit by chance.
func toleranceOf(period time.Duration) time.Duration {
	return min(tolerance, period/spanShare)
}

// cyclesOf returns the multiple of the period that is nearest to a difference, and what
// the difference exceeds it by.
func cyclesOf(span, period time.Duration) (int64, time.Duration) {
	cycles := int64((span + period/2) / period)
	if span < -period/2 {
		cycles = int64((span - period/2) / period)
	}
	return cycles, span - time.Duration(cycles)*period
}

// fits reports whether a difference is a multiple of the period.
func fits(span, period time.Duration) bool {
	cycles, rest := cyclesOf(span, period)
	return cycles > 0 && rest.Abs() <= toleranceOf(period)
}

// refine returns the period adjusted to the differences that fit it.
func refine(period time.Duration, spans []time.Duration) time.Duration {
	for range refinements {
		l := slopeOf(spans, period)
		period = l.slope(period)
	}
	return period
}

// evidence returns how unlikely it is that so many differences fit a period by chance: it
// bounds the probability by exp(-evidence), after Chernoff. A part of the true period fits
// as many differences, but more of them by chance, and a multiple fits fewer.
func evidence(period time.Duration, spans []time.Duration) float64 {
	n := 0
	for _, s := range spans {
		if fits(s, period) {
			n++
		}
	}
	share, chance := float64(n)/float64(len(spans)), chanceOf(period)
	if share <= chance {
		return 0
	}
	divergence := share * math.Log(share/chance)
	if n < len(spans) {
		divergence += (1 - share) * math.Log((1-share)/(1-chance))
	}
	return float64(len(spans)) * divergence
}

// chanceOf returns the probability that a random difference fits a period.
func chanceOf(period time.Duration) float64 {
	return 2 * float64(toleranceOf(period)) / float64(period)
}
