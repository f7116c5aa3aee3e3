// Package withdrawal decides whether a host may still use a target that has reported
// that it is leaving or has asked for a pause. It does no I/O, starts no goroutines and
// takes the time as an argument.
package withdrawal

import "time"

const (
	// leavingMargin is subtracted from the time for which a leaving target may be used,
	// for requests that are on their way when it ends.
	leavingMargin = 500 * time.Millisecond
	// MaxPause bounds the pause that a target can ask for.
	MaxPause = 5 * time.Minute
)

// State is what one start of a target has said. The zero value is a target that takes
// all requests. It is not safe for concurrent use.
type State struct {
	// leavingUntil is the end of the time in which the leaving target may be used,
	// zero if it is not leaving.
	leavingUntil time.Time
	pausedUntil  time.Time
}

// Leave records that the target is leaving. Within drain it may be used if no other
// replica can take the request. Leave reports whether this is new.
func (s *State) Leave(now time.Time, drain time.Duration) bool {
	if s.Leaving() {
		return false
	}
	s.leavingUntil = now.Add(max(drain-leavingMargin, 0))
	return true
}

// Pause records that the target wants no request for the given time, of which it uses
// at most MaxPause. A shorter pause does not end a longer one.
func (s *State) Pause(now time.Time, wanted time.Duration) {
	until := now.Add(min(wanted, MaxPause))
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// Leaving reports whether the target is leaving: other replicas go before it.
func (s *State) Leaving() bool { return !s.leavingUntil.IsZero() }

// Left reports whether the time for which the leaving target may be used has passed.
func (s *State) Left(now time.Time) bool { return s.Leaving() && !now.Before(s.leavingUntil) }

// PauseLeft returns the rest of the pause, 0 if there is none.
func (s *State) PauseLeft(now time.Time) time.Duration { return max(s.pausedUntil.Sub(now), 0) }

// IsZero reports whether the target has said neither.
func (s *State) IsZero() bool { return s.leavingUntil.IsZero() && s.pausedUntil.IsZero() }
