package target

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Faults configures the faults that a target injects. The zero value is a target
// without added latency or errors.
type Faults struct {
	// LatencyMedianUS and LatencySigma are the median, in microseconds, and the
	// shape parameter of the log-normal latency distribution of exchanges.
	LatencyMedianUS int     `json:"latency_median_us,omitempty"`
	LatencySigma    float64 `json:"latency_sigma,omitempty"`
	// StragglerShare is the share of exchanges that take StragglerFactor times as
	// long.
	StragglerShare  float64 `json:"straggler_share,omitempty"`
	StragglerFactor float64 `json:"straggler_factor,omitempty"`
	// ColdMS is the warm-up time after the faults are set, in milliseconds. During
	// this time, latencies are multiplied by a factor that falls linearly from
	// ColdFactor to 1.
	ColdMS     int     `json:"cold_ms,omitempty"`
	ColdFactor float64 `json:"cold_factor,omitempty"`
	// ShedShare is the share of exchanges that are refused as shed. RetryAfterMS is
	// the retry hint of shed exchanges, in milliseconds.
	ShedShare    float64 `json:"shed_share,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	// FailShare is the share of exchanges that run and then fail.
	FailShare float64 `json:"fail_share,omitempty"`
	// Leaving refuses new exchanges and is reported in load reports and by the health
	// endpoint.
	Leaving bool `json:"leaving,omitempty"`
	// Frozen accepts requests and withholds all answers until it is switched off.
	Frozen bool `json:"frozen,omitempty"`
	// CrashBody crashes the target when a request's body contains it.
	CrashBody string `json:"crash_body,omitempty"`
	// RestartMS is how long a crashed target stays down, in milliseconds; 0 selects
	// DefaultRestart. It has no effect if Settings.OnCrash is set.
	RestartMS int `json:"restart_ms,omitempty"`
	// Reply is the kind of damage that is done to ReplyShare of the replies.
	Reply      ReplyFault `json:"reply,omitempty"`
	ReplyShare float64    `json:"reply_share,omitempty"`
	// StatusLine and FieldLines begin the replies under ReplyRaw, each field line with its CRLF.
	StatusLine string `json:"status_line,omitempty"`
	FieldLines string `json:"field_lines,omitempty"`
	// ReplyDelayMS is the delay of replies under ReplyDelayed, in milliseconds.
	ReplyDelayMS int `json:"reply_delay_ms,omitempty"`
	// Health overrides the health endpoint and the load endpoint. Load reports in
	// answers stay true.
	Health HealthFault `json:"health,omitempty"`
	// Snapshots replaces the snapshots that the target serves, if not empty.
	Snapshots []model.SnapshotID `json:"snapshots,omitempty"`
	// WrongSnapshot, if not zero, is searched and reported in the answer in place
	// of the requested snapshot.
	WrongSnapshot model.SnapshotID `json:"wrong_snapshot,omitempty"`
}

// ReplyFault is a kind of damage to replies.
type ReplyFault string

// The kinds of damage to replies.
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
	// ReplyCrossed sends the reply of an earlier request.
	ReplyCrossed ReplyFault = "crossed"
	// ReplyRaw sends the reply with the given status line and field lines, and closes the
	// connection.
	ReplyRaw ReplyFault = "raw"
	// ReplyDelayed sends the reply late.
	ReplyDelayed ReplyFault = "delayed"
)

// HealthFault is a state that the health endpoint reports whatever the true state.
type HealthFault string

// The states that can be reported in place of the true one.
const (
	AlwaysHealthy   HealthFault = "always_healthy"
	AlwaysUnhealthy HealthFault = "always_unhealthy"
)
