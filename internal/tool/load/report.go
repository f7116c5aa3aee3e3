package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Report describes the outcome of a run. The warm-up is left out unless stated
// otherwise.
type Report struct {
	Name    string    `json:"name"`
	Run     *Run      `json:"run"`
	Started time.Time `json:"started"`
	// Seconds is how long queries were sent.
	Seconds float64 `json:"seconds"`
	// Offered counts the arrivals: Sent of them were sent, and NotSent were dropped
	// because Run.MaxInflight queries were in flight.
	Offered int `json:"offered"`
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// TotalSent counts the queries sent, warm-up included.
	TotalSent int `json:"total_sent"`
	// LateMS is the longest delay between the intended arrival of a query and its
	// sending, in milliseconds.
	LateMS    float64                        `json:"late_ms"`
	Summary   Summary                        `json:"summary"`
	Workloads map[model.WorkloadName]Summary `json:"workloads"`
}

// Summary aggregates the outcomes of one workload's queries, or of all queries.
type Summary struct {
	Answers     int `json:"answers"`
	FullAnswers int `json:"full_answers"`
	// Refusals counts unanswered queries with the verdict not_run; Failures counts
	// those with another verdict or none.
	Refusals         int     `json:"refusals"`
	Failures         int     `json:"failures"`
	RetryAfterHints  int     `json:"retry_after_hints"`
	AnswersPerSecond float64 `json:"answers_per_second"`
	// Latencies are measured from the intended arrival.
	AnswerLatency  Percentiles            `json:"answer_latency_ms"`
	RefusalLatency Percentiles            `json:"refusal_latency_ms"`
	FailureLatency Percentiles            `json:"failure_latency_ms"`
	Coverage       Coverage               `json:"coverage"`
	Missing        map[verdict.Reason]int `json:"missing_shards,omitempty"`
	SubRequests    int                    `json:"subrequests"`
	ExtraRequests  int                    `json:"extra_subrequests"`
	// ExtraLoad is ExtraRequests divided by SubRequests.
	ExtraLoad float64        `json:"extra_load"`
	Outcomes  []OutcomeCount `json:"outcomes"`
}

// Percentiles describes a distribution of latencies in milliseconds.
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

// Coverage describes the share of shards that answers cover, from 0 to 1. Mean is
// weighted by the number of shards; FullShare is the share of answers that cover
// all of their shards.
type Coverage struct {
	Mean      float64 `json:"mean"`
	Lowest    float64 `json:"lowest"`
	FullShare float64 `json:"full_share"`
}

// OutcomeCount counts the queries with one verdict and reason. Reason is empty for
// answers.
type OutcomeCount struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Count   int             `json:"count"`
}

// WriteJSON writes v to a file as indented JSON.
func WriteJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}
