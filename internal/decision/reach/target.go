package reach

import "time"

const (
	// heardFor is how long a target counts as reached after it was heard from.
	heardFor = 3 * time.Second
	// silentLeast is how long a target that has requests must be silent at least to count as
	// lost, and silentFactor the multiple of the expected response time.
	silentLeast  = time.Second
	silentFactor = 8
	// overdueLeast and overdueFactor are the same for targets that are silent all at once.
	overdueLeast  = 150 * time.Millisecond
	overdueFactor = 4
)

// Target is whether one target is reached. The zero value is a target of which nothing is
// known. It is not safe for concurrent use.
type Target struct {
	heard time.Time
	lost  bool
}

// Heard records that the target has answered or accepted a connection.
func (t *Target) Heard(now time.Time) { t.heard, t.lost = now, false }

// Failed records that the target can't be reached, until it is heard from. It reports whether
// this is new.
func (t *Target) Failed() bool {
	isNew := !t.lost
	t.lost = true
	return isNew
}

// Lost reports whether the target can't be reached.
func (t *Target) Lost() bool { return t.lost }

// Reached reports whether the target was heard from recently and not lost since.
func (t *Target) Reached(now time.Time) bool {
	return !t.lost && !t.heard.IsZero() && now.Sub(t.heard) < heardFor
}

// Silent reports whether a target counts as lost by itself which has requests but hasn't
// replied for a time, where it usually takes the expected one.
func Silent(silence, expected time.Duration) bool {
	return silence >= max(silentLeast, silentFactor*expected)
}

// Overdue reports whether a target counts as lost if all others are silent too.
func Overdue(silence, expected time.Duration) bool {
	return silence >= max(overdueLeast, overdueFactor*expected)
}
