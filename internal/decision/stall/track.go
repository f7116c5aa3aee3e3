package stall

import "time"

const (
	// maxEnds is the number of ends that are kept of each target.
	maxEnds = 8
	// sameEnd is the greatest distance of two observed ends of one pause. It is much
	// less than MinPeriod.
	sameEnd = 250 * time.Millisecond
	// maxByChance is the greatest expected number of phases that as many of a target's
	// ends fit by chance.
	maxByChance = 0.15
	// recentEnds is the age up to which ends must fit a phase.
	recentEnds = 3 * time.Minute
	// maxMisses is the number of pauses in a row that did not occur as predicted after
	// which a phase is dropped.
	maxMisses = 3
	// expiry is how long a phase is used that no pause has confirmed, and sureExpiry that
	// of a sure one: sureByChance or less are expected by chance, or a later end has
	// fitted it. The error of the period adds up meanwhile, and requests avoid what would
	// disprove the phase.
	expiry       = time.Minute
	sureExpiry   = 3 * time.Minute
	sureByChance = 0.03
	// longestBase is the longest time over which the period is measured: beyond it, the
	// clocks of host and target may have drifted apart.
	longestBase = 5 * time.Minute
	// phaseGain is the weight of a new end in the phase.
	phaseGain = 0.3
)

// track is what is known of one target.
type track struct {
	// ends has the last ends, of which n are valid; next is the index of the next one.
	ends [maxEnds]End
	n    int
	next int
	// phase is the end of any one pause, zero while it is unknown, and confirmed when a
	// pause last fitted it. sure is set if chance hardly explains it. first is the end from
	// which the period is measured.
	phase     time.Time
	sure      bool
	first     time.Time
	confirmed time.Time
	misses    int
}

// merge reports whether the end is that of a pause in ends, and adds its length if the
// times agree.
func (t *track) merge(end End) bool {
	for i := range t.ends[:t.n] {
		if t.ends[i].At.Sub(end.At).Abs() < sameEnd {
			if t.ends[i].At.Sub(end.At).Abs() <= tolerance {
				t.ends[i].Length = max(t.ends[i].Length, end.Length)
			}
			return true
		}
	}
	return false
}

// newest returns the newest end, zero if there is none.
func (t *track) newest() time.Time {
	var at time.Time
	for i := range t.ends[:t.n] {
		at = later(at, t.ends[i].At)
	}
	return at
}

// add adds an end in place of the oldest one.
func (t *track) add(end End) {
	t.ends[t.next] = end
	t.next = (t.next + 1) % maxEnds
	t.n = min(t.n+1, maxEnds)
}

// follow moves the phase to an end that fits it. It returns the number of periods since
// first, the difference and true, or false if the end doesn't fit.
func (t *track) follow(end End, period time.Duration) (int64, time.Duration, bool) {
	if t.phase.IsZero() {
		return 0, 0, false
	}
	_, rest := cyclesOf(end.At.Sub(t.phase), period)
	if rest.Abs() > toleranceOf(period) {
		return 0, 0, false
	}
	correction := time.Duration((1 - phaseGain) * float64(rest))
	t.phase = later(t.phase, end.At.Add(-correction))
	t.confirmed = later(t.confirmed, end.At)
	t.misses, t.sure = 0, true
	span := end.At.Sub(t.first)
	cycles, _ := cyclesOf(span, period)
	if span > longestBase {
		t.first = end.At
	}
	return cycles, span, true
}

// locate sets the phase that most of the recent ends fit, if there is one.
func (t *track) locate(period time.Duration, now time.Time) {
	best, anchor, recent := 0, End{}, 0
	for i := range t.ends[:t.n] {
		if now.Sub(t.ends[i].At) > recentEnds {
			continue
		}
		recent++
		if n := t.fitting(t.ends[i].At, period, now); n > best || n == best && t.ends[i].At.After(anchor.At) {
			best, anchor = n, t.ends[i]
		}
	}
	expected := expectedByChance(recent, best, chanceOf(period))
	if expected > maxByChance {
		return
	}
	t.phase, t.confirmed, t.misses = t.center(anchor.At, period, now), anchor.At, 0
	t.first, t.sure = t.phase, expected <= sureByChance
}

// expectedByChance returns how many of n random ends are expected to have fitting-1 others
// at their phase, each of which is there with the given probability.
func expectedByChance(n, fitting int, probability float64) float64 {
	expected := float64(n)
	for i := 1; i < fitting; i++ {
		expected *= probability * float64(n-i) / float64(i)
	}
	return expected
}

// fitting returns the number of recent ends that lie whole periods from the anchor.
func (t *track) fitting(anchor time.Time, period time.Duration, now time.Time) int {
	n := 0
	for i := range t.ends[:t.n] {
		_, rest := cyclesOf(t.ends[i].At.Sub(anchor), period)
		if rest.Abs() <= toleranceOf(period) && now.Sub(t.ends[i].At) <= recentEnds {
			n++
		}
	}
	return n
}

// center returns the anchor moved by the mean deviation of the ends that fit it.
func (t *track) center(anchor time.Time, period time.Duration, now time.Time) time.Time {
	sum, n := time.Duration(0), 0
	for i := range t.ends[:t.n] {
		_, rest := cyclesOf(t.ends[i].At.Sub(anchor), period)
		if rest.Abs() <= toleranceOf(period) && now.Sub(t.ends[i].At) <= recentEnds {
			sum += rest
			n++
		}
	}
	return anchor.Add(sum / time.Duration(max(n, 1)))
}

// miss counts a pause that did not occur and reports whether the phase was dropped.
func (t *track) miss() bool {
	t.misses++
	if t.misses < maxMisses || t.phase.IsZero() {
		return false
	}
	*t = track{}
	return true
}

// expires returns until when the phase is used.
func (t *track) expires() time.Time {
	if t.sure {
		return t.confirmed.Add(sureExpiry)
	}
	return t.confirmed.Add(expiry)
}

// pattern returns the prediction for a target, zero if its phase is unknown.
func (f *family) pattern(t *track) Pattern {
	if f.period <= 0 || t.phase.IsZero() {
		return Pattern{}
	}
	return Pattern{Period: f.period, End: t.phase, Length: f.length, Least: f.least, Until: t.expires()}
}
