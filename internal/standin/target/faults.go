package target

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Faults are what a target does wrong. The zero value is a fast, healthy target.
type Faults struct {
	// LatencyMedianUS and LatencySigma are the median, in microseconds, and the
	// shape of a log-normal distribution of the time that an exchange takes.
	LatencyMedianUS int     `json:"latency_median_us,omitempty"`
	LatencySigma    float64 `json:"latency_sigma,omitempty"`
	// StragglerShare of exchanges take StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share,omitempty"`
	StragglerFactor float64 `json:"straggler_factor,omitempty"`
	// ColdMS is how long the target is cold from when this was set, in
	// milliseconds. Exchanges take ColdFactor times as long at first, and less
	// and less until it is over.
	ColdMS     int     `json:"cold_ms,omitempty"`
	ColdFactor float64 `json:"cold_factor,omitempty"`
	// ShedShare of exchanges are refused with RetryAfterMS as a hint.
	ShedShare    float64 `json:"shed_share,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	// FailShare of exchanges run and then fail.
	FailShare float64 `json:"fail_share,omitempty"`
	// Leaving refuses new exchanges and says so in load reports.
	Leaving bool `json:"leaving,omitempty"`
	// Frozen accepts bytes and answers nothing until it is switched off.
	Frozen bool `json:"frozen,omitempty"`
	// CrashBody crashes the target when a request's body contains it.
	CrashBody string `json:"crash_body,omitempty"`
	// RestartMS is how long a crashed target stays down, in milliseconds.
	RestartMS int `json:"restart_ms,omitempty"`
	// Reply damages ReplyShare of replies.
	Reply      ReplyFault `json:"reply,omitempty"`
	ReplyShare float64    `json:"reply_share,omitempty"`
	// ReplyDelayMS is how late a delayed reply is, in milliseconds.
	ReplyDelayMS int `json:"reply_delay_ms,omitempty"`
	// Health overrides the health endpoint and the load reports on request.
	Health HealthFault `json:"health,omitempty"`
	// Snapshots replaces the held snapshots if it is not empty.
	Snapshots []model.SnapshotID `json:"snapshots,omitempty"`
	// WrongSnapshot is served, and named, in place of the one asked for.
	WrongSnapshot model.SnapshotID `json:"wrong_snapshot,omitempty"`
}

// ReplyFault is a way of damaging replies.
type ReplyFault string

// The ways of damaging replies.
const (
	// ReplySwapped reverses the list of answers.
	ReplySwapped ReplyFault = "swapped"
	// ReplyRepeated repeats the first answer at the end of the list.
	ReplyRepeated ReplyFault = "repeated"
	// ReplyShort leaves the last answer out.
	ReplyShort ReplyFault = "short"
	// ReplyTruncated cuts the encoded list in half.
	ReplyTruncated ReplyFault = "truncated"
	// ReplyCut closes the connection in the middle of the response.
	ReplyCut ReplyFault = "cut"
	// ReplyCrossed sends the reply to an earlier request.
	ReplyCrossed ReplyFault = "crossed"
	// ReplyDelayed sends the reply late.
	ReplyDelayed ReplyFault = "delayed"
)

// HealthFault is what a lying health endpoint says.
type HealthFault string

// The lies of the health endpoint.
const (
	AlwaysHealthy   HealthFault = "always_healthy"
	AlwaysUnhealthy HealthFault = "always_unhealthy"
)
