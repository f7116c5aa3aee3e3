package exchange

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Trace records how a request was served. Every answer to a request whose serving
// began has one. Legs is filled in only if the answer failed, was late or lacks a
// shard; it begins with the legs that kept the answer from being better.
type Trace struct {
	Route string
	Sweep bool
	// Gatherer is the address of the host that gathered a sweep for this one; empty if
	// this host did.
	Gatherer string
	// ConfigVersion and Position are the configuration version and the store
	// position under which the request was served.
	ConfigVersion int64
	Position      catalog.Position
	Objective     time.Duration
	// Priority is the route's.
	Priority int `cbor:",omitempty"`
	// Hedges counts additional attempts sent while an earlier one was late, Retries
	// those sent after a failed one, and Denied those that the bound on extra load
	// did not allow.
	Hedges  int
	Retries int
	Denied  int
	// Shards counts the shards that were needed, Parts those that answered.
	Shards int
	Parts  int
	// Late is set if the answer came after Objective.
	Late bool
	Legs []Leg
}

// Leg describes a shard or service that did not answer in time.
type Leg struct {
	Service string `json:"service"`
	Cause   Cause  `json:"cause"`
	// Target is the target that answered late or, without an answer, the last one that
	// was tried, SentMS the time from sending to it until the caller's answer, in
	// milliseconds.
	Target string `json:"target,omitempty"`
	SentMS int64  `json:"sent_ms_ago,omitempty"`
	// EstimateMS is the expected time until an answer of the best target of a leg that
	// was not sent since its queue is too long, in milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// Tried is the number of attempts.
	Tried int `json:"tried"`
}

// Cause is the reason that a leg has no answer.
type Cause string

// Causes of a leg without an answer.
const (
	// CauseNoTarget means that no target of the service could be reached.
	CauseNoTarget Cause = "no_target"
	// CauseEvacuated means that the service has evacuated targets and no other one could
	// be reached.
	CauseEvacuated Cause = "evacuated"
	// CauseWarming means that the targets that could be reached are cold and this host has
	// no permit for a request to them.
	CauseWarming Cause = "targets_warming"
	// CauseLimited means that the targets that could be reached limit their request rate and
	// this host has no permit for a request to them.
	CauseLimited Cause = "targets_limited"
	// CauseNotSent means that no attempt was made although a target was reachable.
	CauseNotSent Cause = "not_sent"
	// CauseQueue means that no attempt was made since the queue for the best target is
	// too long.
	CauseQueue Cause = "queue_too_long"
	// CauseLateReply means that the leg answered after the objective.
	CauseLateReply Cause = "late_reply"
	// CauseNoConnection means that the request was still waiting for a connection.
	CauseNoConnection Cause = "no_connection"
	// CauseShed means that the targets refused the request.
	CauseShed Cause = "target_shed"
	// CauseFailed means that the targets failed or closed the connection.
	CauseFailed Cause = "target_failed"
	// CauseSlow means that one target had not answered yet and no hedge was open.
	CauseSlow Cause = "target_slow"
	// CauseSlowTwice means that two or more targets had not answered yet.
	CauseSlowTwice Cause = "targets_slow"
	// CauseBudget means that a target had not answered yet and the bound on extra
	// load did not allow a further attempt.
	CauseBudget Cause = "hedge_budget_empty"
)
