package stall

import "time"

// adoptTolerance is the greatest difference of two estimates of one period.
const adoptTolerance = 2 * time.Millisecond

// Adopt takes a pattern that another host has learnt, unless this one knows better.
func (l *Learner) Adopt(name, target string, p Pattern, now time.Time) {
	if f := l.of(name, target); f != nil && f.adopt(target, p, now) {
		l.changed[target] = true
	}
}

// adopt takes the period if none is known and the phase if it is unknown or has expired,
// and reports whether it took the phase.
func (f *family) adopt(target string, p Pattern, now time.Time) bool {
	if f.period <= 0 {
		f.period, f.length, f.least = p.Period, p.Length, p.Least
		f.score, f.confirmed, f.slope = firstScore, now, leastSquares{}
		// The period counts as much as one difference of the greatest span.
		cycles := int64(maxSpan / p.Period)
		f.slope.add(cycles, time.Duration(cycles)*p.Period)
	}
	t := f.trackOf(target)
	known := f.pattern(t)
	if (p.Period-f.period).Abs() > adoptTolerance || known.inForce(now) {
		return false
	}
	t.phase, t.first, t.confirmed, t.sure, t.misses = p.End, p.End, now, false, 0
	return true
}

// Table returns the patterns in force at now, at most MaxTable, of the targets for which
// wanted returns true.
func (l *Learner) Table(now time.Time, wanted func(target string) bool) []SharedPattern {
	var table []SharedPattern
	for target := range l.familyOf {
		p := l.Pattern(target)
		if len(table) < MaxTable && p.inForce(now) && p.Length > 0 && wanted(target) {
			table = append(table, SharePattern(target, p, now))
		}
	}
	return table
}
