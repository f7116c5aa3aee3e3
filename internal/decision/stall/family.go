package stall

import (
	"slices"
	"time"
)

const (
	// maxSpans and maxLengths are the numbers of differences and lengths that are kept.
	maxSpans   = 96
	maxLengths = 64
	// fitAfter is the number of new differences after which a period is sought. It doubles
	// with each attempt that failed, up to maxSpans.
	fitAfter = 6
	// lengthQuantile is the quantile of the observed lengths from which the length
	// follows with lengthFactor. Most of them are lower bounds, evenly spread; a few are
	// too long, because the replies were late for other reasons as well.
	lengthQuantile = 0.8
	lengthFactor   = 1.1
	// leastQuantile is the quantile that is taken for the least length.
	leastQuantile = 0.5
	// periodKeep is the weight that earlier differences keep in the period at each new
	// one.
	periodKeep = 0.995
	// scoreGain is the weight of a pause that occurred or was missed in the score,
	// dropScore the score below which a period is dropped, and firstScore that of a new
	// period. Ends at other times don't count: while requests avoid the predicted pauses,
	// most of the late replies have other causes.
	scoreGain  = 0.06
	dropScore  = 0.3
	firstScore = 0.8
	// keepUnconfirmed is how long a period is kept without a pause that fits it.
	keepUnconfirmed = 5 * time.Minute
	// publishFrom is the error of a prediction from which on it is returned again.
	publishFrom = 5 * time.Millisecond
	// maxLengthShare bounds a pause as a share of the period.
	maxLengthShare = 0.3
)

// family is a service or an index, whose targets pause with the same period.
type family struct {
	tracks map[string]*track
	// spans has the differences between successive ends of a target, as far as these
	// are used to find a period; fresh counts those since the last
	// attempt, of which the next one needs the number wanted.
	spans    []time.Duration
	nextSpan int
	fresh    int
	wanted   int
	// lengths has the lengths of the last pauses, and relearn is set if length is to be
	// computed from them.
	lengths    []time.Duration
	nextLength int
	relearn    bool
	// period is zero while it is unknown.
	period time.Duration
	length time.Duration
	least  time.Duration
	// published is the period of the predictions that were returned last.
	published time.Duration
	// slope adjusts the period, score is the share of predicted pauses that occurred, and
	// confirmed is when the last one did.
	slope     leastSquares
	score     float64
	confirmed time.Time
}

func newFamily() *family { return &family{tracks: map[string]*track{}, wanted: fitAfter} }

// keep stores a value in a ring of at most limit values.
func keep(ring []time.Duration, next *int, limit int, value time.Duration) []time.Duration {
	if len(ring) < limit {
		return append(ring, value)
	}
	ring[*next] = value
	*next = (*next + 1) % limit
	return ring
}

// trackOf returns a target's track, which is created on first use.
func (f *family) trackOf(target string) *track {
	t, ok := f.tracks[target]
	if !ok {
		t = &track{}
		f.tracks[target] = t
	}
	return t
}

// add adds the end of a pause and reports whether the target's prediction has changed.
func (f *family) add(target string, end End, now time.Time) bool {
	t := f.trackOf(target)
	if t.merge(end) {
		return false
	}
	f.addSpan(t, end)
	t.add(end)
	if f.period <= 0 {
		return false
	}
	if cycles, span, ok := t.follow(end, f.period); ok {
		f.judge(true)
		f.confirmed = later(f.confirmed, end.At)
		f.addLength(end.Length)
		f.adjust(cycles, span)
		return true
	}
	before := t.phase
	t.locate(f.period, now)
	return t.phase != before
}

// addSpan keeps the difference to the target's previous end.
func (f *family) addSpan(t *track, end End) {
	last := t.newest()
	if span := end.At.Sub(last); !last.IsZero() && span >= MinPeriod/2 && span <= maxSpan {
		f.spans = keep(f.spans, &f.nextSpan, maxSpans, span)
		f.fresh++
	}
}

// judge counts a predicted pause that occurred or did not.
func (f *family) judge(occurred bool) {
	if occurred {
		f.score += scoreGain * (1 - f.score)
		return
	}
	f.score -= scoreGain * f.score
}

// adjust takes a difference of a known number of periods into the period.
func (f *family) adjust(cycles int64, span time.Duration) {
	if cycles <= 0 {
		return
	}
	f.slope.forget(periodKeep)
	f.slope.add(cycles, span)
	f.period = f.slope.slope(f.period)
}

// due reports whether there are enough new differences to seek the period.
func (f *family) due() bool {
	return f.period <= 0 && f.fresh >= f.wanted && len(f.spans) >= minSpans
}

// seek finds the period and reports whether it did.
func (f *family) seek(now time.Time) bool {
	f.fresh = 0
	period, ok := fitPeriod(f.spans)
	if !ok {
		f.wanted = min(2*f.wanted, maxSpans)
		return false
	}
	f.period, f.score, f.slope, f.confirmed = period, firstScore, slopeOf(f.spans, period), now
	for _, t := range f.tracks {
		t.locate(period, now)
		f.addLengths(t)
	}
	f.measureLength()
	return true
}

// tune takes the period from the differences if they are more than what it is from, which
// was few at first.
func (f *family) tune() {
	if f.period <= 0 || f.fresh < fitAfter {
		return
	}
	f.fresh = 0
	if l := slopeOf(f.spans, f.period); l.xx > f.slope.xx {
		f.slope, f.period = l, l.slope(f.period)
	}
}

// publish reports whether all predictions have to be returned again, because the error of
// the period at the last time adds up to too much until they expire.
func (f *family) publish() bool {
	if f.period <= 0 || (f.period-f.published).Abs()*(sureExpiry/f.period) <= publishFrom {
		return false
	}
	f.published = f.period
	return true
}

// addLengths takes the lengths of the target's pauses that fit its phase.
func (f *family) addLengths(t *track) {
	for i := range t.ends[:t.n] {
		if _, rest := cyclesOf(t.ends[i].At.Sub(t.phase), f.period); !t.phase.IsZero() && rest.Abs() <= toleranceOf(f.period) {
			f.addLength(t.ends[i].Length)
		}
	}
}

func (f *family) addLength(length time.Duration) {
	f.lengths = keep(f.lengths, &f.nextLength, maxLengths, length)
	f.relearn = true
}

// measureLength takes the length from the last pauses.
func (f *family) measureLength() {
	f.relearn = false
	if f.period <= 0 || len(f.lengths) == 0 {
		return
	}
	sorted := slices.Clone(f.lengths)
	slices.Sort(sorted)
	quantile := func(q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1))] }
	f.length = time.Duration(min(lengthFactor*float64(quantile(lengthQuantile)), maxLengthShare*float64(f.period)))
	f.least = min(quantile(leastQuantile), f.length)
}

// drop forgets the period and all phases if predicted pauses don't occur, or none has been
// seen for a while, and reports whether it did.
func (f *family) drop(now time.Time) bool {
	if f.period <= 0 || f.score >= dropScore && now.Sub(f.confirmed) < keepUnconfirmed {
		return false
	}
	*f = *newFamily()
	return true
}
