package stall

import "time"

const (
	// MaxSharedEnds is the greatest number of ends in one message between readers or to a
	// gatherer.
	MaxSharedEnds = 256
	// MaxReportedEnds is the greatest number of ends in the report of one host.
	MaxReportedEnds = 64
	// MaxTable is the greatest number of patterns in one message.
	MaxTable = 4096
	// maxTransit is how long an end may be under way between hosts, and maxSharedAge the
	// age that follows, as an end is confirmed late. The time on a link is not counted,
	// so that an end that waited for long would be wrong.
	maxTransit   = 2 * time.Second
	maxSharedAge = confirmWithin + maxTransit
)

// SharedEnd is the end of a pause as hosts exchange it. Their clocks differ, so it holds
// an age, which each host on its way adds to.
type SharedEnd struct {
	Target string `cbor:"1,keyasint"`
	// AgeMS is the time since the pause ended, in milliseconds.
	AgeMS int64 `cbor:"2,keyasint"`
	// LengthMS is the length, in milliseconds.
	LengthMS int64 `cbor:"3,keyasint"`
}

// Share returns the end of a target's pause as it is sent at now.
func Share(target string, end End, now time.Time) SharedEnd {
	return SharedEnd{
		Target: target, AgeMS: now.Sub(end.At).Round(time.Millisecond).Milliseconds(), LengthMS: end.Length.Milliseconds(),
	}
}

// End returns the end as of its receipt at now, or false if it is too old or invalid.
func (s SharedEnd) End(now time.Time) (End, bool) {
	valid := s.AgeMS >= 0 && s.AgeMS <= maxSharedAge.Milliseconds() && s.LengthMS > 0 && s.LengthMS <= MaxLength.Milliseconds()
	if !valid {
		return End{}, false
	}
	return End{At: now.Add(-time.Duration(s.AgeMS) * time.Millisecond), Length: time.Duration(s.LengthMS) * time.Millisecond}, true
}

// SharedPattern is a target's pattern as hosts exchange it.
type SharedPattern struct {
	Target string `cbor:"1,keyasint"`
	// PeriodUS is the period, in microseconds, because its error adds up.
	PeriodUS int64 `cbor:"2,keyasint"`
	// NextMS is the time until the next pause starts, in milliseconds; it is negative
	// during a pause.
	NextMS int64 `cbor:"3,keyasint"`
	// LengthMS is the length, in milliseconds.
	LengthMS int64 `cbor:"4,keyasint"`
}

// SharePattern returns a target's pattern as it is sent at now.
func SharePattern(target string, p Pattern, now time.Time) SharedPattern {
	starts := p.nextEnd(now).Add(-p.Length).Sub(now)
	return SharedPattern{
		Target: target, PeriodUS: p.Period.Microseconds(), NextMS: starts.Round(time.Millisecond).Milliseconds(), LengthMS: p.Length.Milliseconds(),
	}
}

// Pattern returns the pattern as of its receipt at now, or false if it is invalid.
func (s SharedPattern) Pattern(now time.Time) (Pattern, bool) {
	period, length := time.Duration(s.PeriodUS)*time.Microsecond, time.Duration(s.LengthMS)*time.Millisecond
	valid := s.PeriodUS >= MinPeriod.Microseconds() && s.PeriodUS <= MaxPeriod.Microseconds() &&
		s.LengthMS > 0 && float64(s.LengthMS) <= maxLengthShare*float64(period.Milliseconds()) &&
		s.NextMS >= -s.LengthMS && s.NextMS <= period.Milliseconds()
	if !valid {
		return Pattern{}, false
	}
	end := now.Add(time.Duration(s.NextMS)*time.Millisecond + length)
	return Pattern{Period: period, End: end, Length: length, Least: length / 2, Until: now.Add(expiry)}, true
}
