package experiment

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// Report describes the outcome of an experiment.
type Report struct {
	Name        string    `json:"name"`
	Description string    `json:"description"`
	Started     time.Time `json:"started"`
	Machine     Machine   `json:"machine"`
	Verdicts    []Verdict `json:"verdicts"`
	// Rounds holds, for each round, the arms in order.
	Rounds [][]*ArmReport `json:"rounds"`
}

// Machine describes the machine that the experiment ran on.
type Machine struct {
	Cores int `json:"cores"`
	// LoadAverageBefore and LoadAverageAfter are the one-minute load averages
	// before and after the experiment; empty if unavailable.
	LoadAverageBefore string `json:"load_average_before"`
	LoadAverageAfter  string `json:"load_average_after"`
}

// ArmReport describes the outcome of one arm in one round.
type ArmReport struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Goodput is the number of answers per second. A query without an answer by
	// its deadline is not included.
	Goodput float64 `json:"goodput"`
	// ExtraLoad is the extra sub-requests that answers report, divided by the
	// shards of these answers.
	ExtraLoad float64 `json:"extra_load"`
	// TargetExtra is the excess of exchanges that reached targets over one per
	// shard of each query sent, divided by the latter, warm-up included. It is
	// negative if queries were refused before they reached targets.
	TargetExtra float64 `json:"target_extra"`
	// PeakConnections is the highest number of connections that any target had
	// open at once.
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
	TargetStarted      int `json:"target_started"`
	TargetFinished     int `json:"target_finished"`
	TargetCancelled    int `json:"target_cancelled"`
	TargetRefused      int `json:"target_refused"`
	// CPUMicrosPerSubRequest is the processor time of the whole process, stand-ins and
	// load generator included, divided by the number of exchanges that targets
	// started, in microseconds.
	CPUMicrosPerSubRequest float64      `json:"cpu_us_per_subrequest"`
	Load                   *load.Report `json:"load"`
}
