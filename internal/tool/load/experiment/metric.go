package experiment

import (
	"fmt"
	"slices"
)

// bestArm, as the To of a comparison, selects the arm with the highest value of
// the metric in each round.
const bestArm = "best"

// metrics maps the metric names that comparisons may use to their values.
var metrics = map[string]func(*ArmReport) float64{
	"p50":                 func(r *ArmReport) float64 { return r.Load.Summary.AnswerLatency.P50 },
	"p99":                 func(r *ArmReport) float64 { return r.Load.Summary.AnswerLatency.P99 },
	"p99.9":               func(r *ArmReport) float64 { return r.Load.Summary.AnswerLatency.P999 },
	"refusal_p99":         func(r *ArmReport) float64 { return r.Load.Summary.RefusalLatency.P99 },
	"extra_load":          func(r *ArmReport) float64 { return r.ExtraLoad },
	"target_extra":        func(r *ArmReport) float64 { return r.TargetExtra },
	"goodput":             func(r *ArmReport) float64 { return r.Goodput },
	"coverage":            func(r *ArmReport) float64 { return r.Load.Summary.Coverage.Mean },
	"full_share":          func(r *ArmReport) float64 { return r.Load.Summary.Coverage.FullShare },
	"failures":            func(r *ArmReport) float64 { return float64(r.Load.Summary.Failures) },
	"peak_connections":    func(r *ArmReport) float64 { return float64(r.PeakConnections) },
	"refused_connections": func(r *ArmReport) float64 { return float64(r.RefusedConnections) },
	"cpu_us":              func(r *ArmReport) float64 { return r.CPUMicrosPerSubRequest },
}

// Verdict is the outcome of a comparison over all rounds.
type Verdict struct {
	Name   string `json:"name"`
	Metric string `json:"metric"`
	Of     string `json:"of"`
	To     string `json:"to,omitempty"`
	// Rounds holds the value of each round. Median is their median, for an even
	// number of rounds the upper one.
	Rounds []float64 `json:"rounds"`
	Median float64   `json:"median"`
	Bound  string    `json:"bound"`
	// Met reports whether the median is within the bound.
	Met bool `json:"met"`
}

// compare evaluates a comparison over all rounds. The bound applies to the median.
func compare(c *Comparison, rounds [][]*ArmReport) Verdict {
	verdict := Verdict{Name: c.Name, Metric: c.Metric, Of: c.Of, To: c.To}
	for _, arms := range rounds {
		verdict.Rounds = append(verdict.Rounds, value(c, arms))
	}
	sorted := slices.Sorted(slices.Values(verdict.Rounds))
	verdict.Median = sorted[len(sorted)/2]
	if c.AtMost != nil {
		verdict.Bound = fmt.Sprintf("<= %g", *c.AtMost)
		verdict.Met = verdict.Median <= *c.AtMost
	} else {
		verdict.Bound = fmt.Sprintf(">= %g", *c.AtLeast)
		verdict.Met = verdict.Median >= *c.AtLeast
	}
	return verdict
}

// value returns the comparison's value in one round. A ratio with a zero divisor
// is zero.
func value(c *Comparison, arms []*ArmReport) float64 {
	metric := metrics[c.Metric]
	var of, to float64
	for _, arm := range arms {
		if arm.Name == c.Of {
			of = metric(arm)
		}
		if arm.Name == c.To || c.To == bestArm {
			to = max(to, metric(arm))
		}
	}
	if c.To == "" {
		return of
	}
	if to == 0 {
		return 0
	}
	return of / to
}
