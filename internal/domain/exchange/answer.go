package exchange

import "time"

// RetryElsewhere is the Retry-After of refusals by a host that is stopping. Another host can
// take the request at once.
const RetryElsewhere = 10 * time.Millisecond

// RetryNoConfiguration is the Retry-After of a host that has no configuration yet.
const RetryNoConfiguration = 150 * time.Millisecond

// Answer is the answer to a caller's request.
type Answer struct {
	Status int
	// Relayed is the target's reply that is forwarded unchanged; nil if the tier
	// made the answer itself.
	Relayed *Reply
	// Signatures holds the signatures of a sweep's parts; Missing counts the
	// shards without a part.
	Signatures []string
	Missing    int
	Body       []byte
	// CutOff is set if shards are missing only since the objective was about to pass.
	CutOff bool
	// RetryAfter is set if a later retry can succeed.
	RetryAfter time.Duration
	// Reason is set if the tier itself refused or failed the request.
	Reason Reason
	// CloseConnection is set if the connection can't be used for another request.
	CloseConnection bool
	// Trace records how the request was served; nil if serving did not begin.
	Trace *Trace
}

// Success reports whether the request was served.
func (a *Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Reason is the cause for which the tier itself refused or failed a request.
type Reason string

// Reasons for the tier's own refusals and failures.
const (
	NoConfiguration Reason = "no_configuration"
	NoRoute         Reason = "no_route"
	BadRequest      Reason = "bad_request"
	HeaderTooLarge  Reason = "header_too_large"
	BodyTooLarge    Reason = "body_too_large"
	TooSlow         Reason = "request_too_slow"
	NoTarget        Reason = "no_target"
	NoRoom          Reason = "no_room"
	TargetsPaused   Reason = "targets_paused"
	Evacuated       Reason = "evacuated"
	TargetsWarming  Reason = "targets_warming"
	TargetsLimited  Reason = "targets_limited"
	LinksLost       Reason = "links_lost"
	TargetFailed    Reason = "target_failed"
	TargetSilent    Reason = "target_silent"
	GathererLost    Reason = "gatherer_lost"
	LowCoverage     Reason = "low_coverage"
	TimedOut        Reason = "timed_out"
	CallerLeft      Reason = "caller_left"
	CrashesTargets  Reason = "crashes_targets"
	MemoryFull      Reason = "memory_full"
	HostStopping    Reason = "host_stopping"
)
