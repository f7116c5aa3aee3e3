package rules

import "time"

// Limits are the durations and bounds of the protocol. They must be the same on
// every host of a fleet.
type Limits struct {
	// Retention is how long an id may be resent after its issue.
	Retention time.Duration
	// ClockMargin bounds the difference between any two hosts' clocks.
	ClockMargin time.Duration
	// ListLease is how long a host uses a host list after it was last confirmed as
	// the newest.
	ListLease time.Duration
	// HistoryWait is how long a process waits before its own history of host lists
	// counts as complete, if it finds no host with a complete one.
	HistoryWait time.Duration
	// MaxEntries bounds the ids that one witness holds.
	MaxEntries int
	// MaxOutcomeBytes bounds the total size of the outcomes that one witness holds;
	// beyond it, outcomes are kept without their answers.
	MaxOutcomeBytes int
}

// ListWindow is how long a superseded host list remains in force. A host may use
// the list for up to ListLease, and the ids that it claims by it may be resent for
// up to Retention; clock differences add 2*ClockMargin.
func (l *Limits) ListWindow() time.Duration { return l.ListLease + l.Retention + 2*l.ClockMargin }
