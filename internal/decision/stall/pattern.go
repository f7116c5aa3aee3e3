package stall

import "time"

const (
	// guardBefore and guardAfter widen a predicted pause by what the phase is uncertain
	// and a request is under way.
	guardBefore = 10 * time.Millisecond
	guardAfter  = 10 * time.Millisecond
	// testGuard is the part of the length by which a reply must come before the predicted
	// end to disprove the pause, up to tolerance: with more, no reply would come early
	// enough in a short pause.
	testGuard = 5
)

// Pattern predicts the pauses of one target. The zero value predicts none.
type Pattern struct {
	Period time.Duration
	// End is the end of any one pause.
	End    time.Time
	Length time.Duration
	// Least is a lower bound of the length. The length may be too long, so requests test
	// the prediction in the last part of it.
	Least time.Duration
	// Until is when the pattern expires unless pauses have confirmed it: requests avoid
	// predicted pauses, so a wrong pattern would meet little that disproves it.
	Until time.Time
}

// inForce reports whether the pattern predicts pauses at now.
func (p *Pattern) inForce(now time.Time) bool { return p.Period > 0 && now.Before(p.Until) }

// nextEnd returns the end of the first pause that ends after t.
func (p *Pattern) nextEnd(t time.Time) time.Time {
	left := p.End.Sub(t) % p.Period
	if left <= 0 {
		left += p.Period
	}
	return t.Add(left)
}

// Next returns the pause in progress at now or the next one.
func (p *Pattern) Next(now time.Time) Window {
	if !p.inForce(now) {
		return Window{}
	}
	end := p.nextEnd(now.Add(-guardAfter)).Add(guardAfter).Sub(now)
	return Window{StartsIn: end - p.Length - guardBefore - guardAfter, EndsIn: end}
}

// Within returns how much of the time between two instants predicted pauses take. The
// time after a pause in which the delayed work ends is not included.
func (p *Pattern) Within(from, to time.Time) time.Duration {
	if !p.inForce(to) {
		return 0
	}
	sum := time.Duration(0)
	for end := p.nextEnd(from); end.Add(-p.Length).Before(to); end = end.Add(p.Period) {
		start := end.Add(-p.Length)
		sum += earlier(end, to).Sub(later(start, from))
	}
	return sum
}

// Verdict tells what a reply says about a predicted pause.
type Verdict uint8

const (
	// Untested means that no predicted pause would have delayed the reply, or that the
	// reply says nothing about it.
	Untested Verdict = iota
	// Occurred means that a predicted pause delayed the reply.
	Occurred
	// Missed means that the target answered in the midst of a predicted pause.
	Missed
)

// Judge compares a reply with the pattern. It returns the end of the pause in question.
func (p *Pattern) Judge(r Reply) (Verdict, time.Time) {
	if !p.inForce(r.Replied) {
		return Untested, time.Time{}
	}
	end := p.nextEnd(r.Sent)
	switch {
	case r.Replied.Before(end.Add(-p.Length)):
		return Untested, end
	case !r.Replied.Before(end.Add(-min(tolerance, p.Length/testGuard))):
		if r.Replied.Sub(r.Sent)-r.Usual < lateLeast {
			return Untested, end
		}
		return Occurred, end
	case r.Sent.After(end.Add(-p.Least)):
		return Missed, end
	default:
		return Untested, end
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
