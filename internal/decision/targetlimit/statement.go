package targetlimit

import (
	"math"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// refreshAfter is after which time an unchanged statement is passed on again.
	refreshAfter = 10 * time.Second
	// keptFor is how long a statement counts that no host has heard again.
	keptFor = time.Minute
	// ageError bounds by how much a statement of another host seems younger than it is.
	ageError = 300 * time.Millisecond
)

// Statement is what a target said last of the rate that it takes. The zero value is a target
// that has said nothing.
type Statement struct {
	// Limited is set if the target named a limit, PerSecond is its rate in requests a second.
	Limited   bool
	PerSecond float64
	// At is when the target said so.
	At time.Time
}

// SameLimit reports whether both statements name the same limit, or none.
func (s Statement) SameLimit(other Statement) bool {
	return s.Limited == other.Limited && s.PerSecond == other.PerSecond
}

// Expired reports whether the statement is too old to count.
func (s Statement) Expired(now time.Time) bool { return now.Sub(s.At) > keptFor }

// News reports whether the statement is worth passing on to a host that was told known.
func (s Statement) News(known Statement) bool {
	if !s.At.After(known.At) {
		return false
	}
	return !s.SameLimit(known) || s.Limited && s.At.Sub(known.At) >= refreshAfter
}

// Supersedes reports whether the statement, of another host, is later than what this host
// knows.
func (s Statement) Supersedes(known Statement) bool { return s.At.Sub(known.At) > ageError }

// Notice is a statement about one start of a target, as hosts send it to each other.
type Notice struct {
	Target string `cbor:"1,keyasint"`
	// Born distinguishes starts under one id, see catalog.Target.
	Born      int64   `cbor:"2,keyasint,omitempty"`
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMS is the statement's age in milliseconds when it was sent.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
}

// NewNotice returns the notice of a statement that is sent at now.
func NewNotice(target string, born int64, s Statement, now time.Time) Notice {
	return Notice{Target: target, Born: born, Limited: s.Limited, PerSecond: s.PerSecond, AgeMS: now.Sub(s.At).Milliseconds()}
}

// Statement returns the statement of a notice that was received at now, or false if it can't
// be true or is too old.
func (n *Notice) Statement(now time.Time) (Statement, bool) {
	s := Statement{Limited: n.Limited, PerSecond: min(n.PerSecond, exchange.MaxLimit), At: now.Add(-time.Duration(n.AgeMS) * time.Millisecond)}
	valid := n.AgeMS >= 0 && n.AgeMS <= keptFor.Milliseconds() && n.PerSecond >= 0 && !math.IsInf(n.PerSecond, 0)
	return s, valid
}
