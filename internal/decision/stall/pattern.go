package stall

import "time"

const (
	// guardBefore and guardAfter widen a predicted pause by what the phase is uncertain
	// and a request is under way.
	guardBefore = 10 * time.Millisecond
	guardAfter  = 4 * time.Millisecond
)

// Pattern predicts the pauses of one target. The zero value predicts none.
type Pattern struct {
	Period time.Duration
	// End is the end of any one pause.
	End    time.Time
	Length time.Duration
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
	start := end.Add(-p.Length)
	switch {
	case r.Replied.Before(start):
		return Untested, end
	case !r.Replied.Before(end.Add(-tolerance)):
		if r.Replied.Sub(r.Sent)-r.Usual < lateLeast {
			return Untested, end
		}
		return Occurred, end
	case r.Sent.After(end.Add(-p.Length / 2)):
		// The first half is not tested, because the length is that of the service's
		// longer pauses.
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
