package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Report is the outcome of a run.
type Report struct {
	Name    string    `json:"name"`
	Run     *Run      `json:"run"`
	Started time.Time `json:"started"`
	// Seconds is how long queries were sent after the warm-up.
	Seconds float64 `json:"seconds"`
	// Offered is the arrivals, of which Sent were sent and NotSent were not for
	// too many in flight.
	Offered int `json:"offered"`
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// TotalSent is Sent with the warm-up.
	TotalSent int `json:"total_sent"`
	// LateMS is the longest time that a query was sent after its arrival, in
	// milliseconds.
	LateMS    float64                        `json:"late_ms"`
	Summary   Summary                        `json:"summary"`
	Workloads map[model.WorkloadName]Summary `json:"workloads"`
}

// Summary sums up queries of one kind, or of all.
type Summary struct {
	Answers     int `json:"answers"`
	FullAnswers int `json:"full_answers"`
	// Refusals have verdict not_run; Failures any other.
	Refusals         int     `json:"refusals"`
	Failures         int     `json:"failures"`
	RetryAfterHints  int     `json:"retry_after_hints"`
	AnswersPerSecond float64 `json:"answers_per_second"`
	// Latencies are from the intended arrival.
	AnswerLatency  Percentiles            `json:"answer_latency_ms"`
	RefusalLatency Percentiles            `json:"refusal_latency_ms"`
	FailureLatency Percentiles            `json:"failure_latency_ms"`
	Coverage       Coverage               `json:"coverage"`
	Missing        map[verdict.Reason]int `json:"missing_shards,omitempty"`
	SubRequests    int                    `json:"subrequests"`
	ExtraRequests  int                    `json:"extra_subrequests"`
	// ExtraLoad is ExtraRequests as a share of SubRequests.
	ExtraLoad float64        `json:"extra_load"`
	Outcomes  []OutcomeCount `json:"outcomes"`
}

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	Max   float64 `json:"max"`
	Mean  float64 `json:"mean"`
}

// Coverage is the share of shards that answers cover.
type Coverage struct {
	Mean      float64 `json:"mean"`
	Lowest    float64 `json:"lowest"`
	FullShare float64 `json:"full_share"`
}

// OutcomeCount counts the queries that ended in one way. Reason is empty for
// answers.
type OutcomeCount struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Count   int             `json:"count"`
}

// WriteJSON writes v to a file, indented.
func WriteJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}
