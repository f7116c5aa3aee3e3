package experiment

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// Report is the outcome of an experiment.
type Report struct {
	Name        string    `json:"name"`
	Description string    `json:"description"`
	Started     time.Time `json:"started"`
	Machine     Machine   `json:"machine"`
	Verdicts    []Verdict `json:"verdicts"`
	// Rounds holds, for each round, the arms in order.
	Rounds [][]*ArmReport `json:"rounds"`
}

// Machine says where the experiment ran.
type Machine struct {
	Cores int `json:"cores"`
	// LoadAverage is the machine's before and after, over one minute.
	LoadAverageBefore string `json:"load_average_before"`
	LoadAverageAfter  string `json:"load_average_after"`
}

// ArmReport is one arm of one round.
type ArmReport struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Goodput is the answers a second that came within the deadline.
	Goodput float64 `json:"goodput"`
	// ExtraLoad is the extra sub-requests that answers report, as a share.
	ExtraLoad float64 `json:"extra_load"`
	// TargetExtra is the exchanges that reached targets, warm-up included, beyond
	// one a shard of each query sent, as a share. It is below zero where queries
	// were refused before they reached targets.
	TargetExtra float64 `json:"target_extra"`
	// PeakConnections is the most that any target had open.
	PeakConnections    int `json:"peak_connections"`
	RefusedConnections int `json:"refused_connections"`
	TargetStarted      int `json:"target_started"`
	TargetFinished     int `json:"target_finished"`
	TargetCancelled    int `json:"target_cancelled"`
	TargetRefused      int `json:"target_refused"`
	// CPUMicrosPerSubRequest is the processor time of the whole process, stand-ins
	// and generator included, for each exchange started, in microseconds.
	CPUMicrosPerSubRequest float64      `json:"cpu_us_per_subrequest"`
	Load                   *load.Report `json:"load"`
}
