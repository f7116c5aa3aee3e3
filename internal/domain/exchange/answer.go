package exchange

import "time"

// Answer is what the caller gets.
type Answer struct {
	Status int
	// Relayed is a target's reply that goes on unchanged; nil for the others.
	Relayed *Reply
	// Signatures are those of the parts of a sweep; Missing counts the shards
	// without one.
	Signatures []string
	Missing    int
	Body       []byte
	// RetryAfter is set where asking again later helps.
	RetryAfter time.Duration
	// Reason says why the tier itself failed the request; empty otherwise.
	Reason Reason
	// CloseConnection is set where the connection can't be used further.
	CloseConnection bool
	// Account says how the request was served; nil where it was not begun.
	Account *Account
}

// Reason says why the tier itself answered.
type Reason string

// The reasons of the tier's own failures.
const (
	NoConfiguration Reason = "no_configuration"
	NoRoute         Reason = "no_route"
	BadRequest      Reason = "bad_request"
	HeaderTooLarge  Reason = "header_too_large"
	BodyTooLarge    Reason = "body_too_large"
	TooSlow         Reason = "request_too_slow"
	NoTarget        Reason = "no_target"
	NoRoom          Reason = "no_room"
	TargetFailed    Reason = "target_failed"
	TargetSilent    Reason = "target_silent"
	LowCoverage     Reason = "low_coverage"
	TimedOut        Reason = "timed_out"
	CallerLeft      Reason = "caller_left"
	CrashesTargets  Reason = "crashes_targets"
)
