package exchange

import "time"

// Account says how a request was served. It is made for each answer; its legs
// only for those that failed, came late or lack a shard.
type Account struct {
	Route string
	Sweep bool
	// ConfigVersion and Revision say which configuration and which state of the
	// store decided.
	ConfigVersion int64
	Revision      int64
	Objective     time.Duration
	// Hedges counts second attempts beside a late first one, Retries those after
	// a failed one, Denied those that the bound on extra load did not allow.
	Hedges  int
	Retries int
	Denied  int
	// Shards and Parts count the shards asked and those that answered.
	Shards int
	Parts  int
	// Late is set where the objective had passed.
	Late bool
	Legs []Leg
}

// Leg is a shard or service that brought no part in time.
type Leg struct {
	Service string `json:"service"`
	Cause   Cause  `json:"cause"`
	// Target is the last one asked, SentMS how long before the answer, in
	// milliseconds.
	Target string `json:"target,omitempty"`
	SentMS int64  `json:"sent_ms_ago,omitempty"`
	// Tried counts the attempts.
	Tried int `json:"tried"`
}

// Cause says why a leg brought no part.
type Cause string

// The causes.
const (
	// CauseNoTarget means that no target of the service could be reached.
	CauseNoTarget Cause = "no_target"
	// CauseNotSent means that the request was refused before anything was sent.
	CauseNotSent Cause = "not_sent"
	// CauseNoConnection means that the request waited for a connection.
	CauseNoConnection Cause = "no_connection"
	// CauseShed means that the targets refused the request.
	CauseShed Cause = "target_shed"
	// CauseFailed means that the targets failed or broke the connection.
	CauseFailed Cause = "target_failed"
	// CauseSlow means that a target had the request and no second one was asked.
	CauseSlow Cause = "target_slow"
	// CauseSlowTwice means that two targets had it.
	CauseSlowTwice Cause = "targets_slow"
	// CauseBudget means that the bound on extra load allowed no second attempt.
	CauseBudget Cause = "hedge_budget_empty"
)
