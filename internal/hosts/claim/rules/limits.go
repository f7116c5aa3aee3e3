package rules

import "time"

// Limits are the durations and bounds of the protocol. They must be the same on
// every host of a fleet.
type Limits struct {
	// Retention is how long an id may be resent after its issue.
	Retention time.Duration
	// ClockMargin bounds how far clocks are apart.
	ClockMargin time.Duration
	// ListLease is how long a host acts by a host list after it was last
	// confirmed as the newest.
	ListLease time.Duration
	// HistoryWait is how long a process that found no host with a complete
	// history of host lists waits before its own counts as complete.
	HistoryWait time.Duration
	// MaxEntries bounds the ids that one witness holds.
	MaxEntries int
	// MaxOutcomeBytes bounds the outcomes that one witness holds; past it the
	// answer within an outcome is not kept.
	MaxOutcomeBytes int
}

// ListWindow is how long a superseded host list keeps its say. Until then a host
// may act by it, which takes ListLease, for an id that may still be claimed,
// which takes Retention.
func (l *Limits) ListWindow() time.Duration { return l.ListLease + l.Retention + 2*l.ClockMargin }
