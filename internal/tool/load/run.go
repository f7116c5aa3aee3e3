// Package load is an open-loop load generator: it sends queries at a set rate,
// whether or not earlier ones were answered, and reports the latency from each
// query's intended arrival, coverage, extra load, verdicts and reasons.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Limits of a run.
const (
	MaxDuration = time.Hour
	MaxQueries  = 10_000_000
)

// Distributions of the time between arrivals.
const (
	Constant = "constant"
	Poisson  = "poisson"
)

// Run is the content of a run file. Reports contain it as well.
type Run struct {
	Name string `toml:"name" validate:"required"`
	// URLs are the hosts' caller addresses; queries go to them in turn.
	URLs []string `toml:"urls" validate:"omitempty,dive,url"`
	// Rate is in queries per second.
	Rate float64 `toml:"rate" validate:"gt=0,max=1000000"`
	// Arrivals is Constant or Poisson.
	Arrivals string `toml:"arrivals" validate:"oneof=constant poisson"`
	// Warmup precedes Duration; its queries are sent but left out of the report.
	Warmup   Duration `toml:"warmup"`
	Duration Duration `toml:"duration" validate:"required"`
	// DeadlineMS is the deadline sent with each query, in milliseconds.
	DeadlineMS int    `toml:"deadline_ms" validate:"min=1,max=600000"`
	Seed       uint64 `toml:"seed"`
	// MaxInflight bounds the queries in flight; arrivals beyond it are counted
	// as not sent.
	MaxInflight int     `toml:"max_inflight" validate:"min=1,max=100000"`
	Mix         []Share `toml:"mix" validate:"min=1,dive"`
}

// Share is one kind of query in a run's mix. Its share of the queries is Weight
// divided by the sum of all weights.
type Share struct {
	Workload model.WorkloadName  `toml:"workload" validate:"required"`
	Weight   float64             `toml:"weight" validate:"gt=0"`
	Caller   model.CallerID      `toml:"caller" validate:"required"`
	Body     string              `toml:"body" validate:"required,json"`
	Services []model.ServiceName `toml:"services"`
	// Idempotent overrides the workload's default if it is set.
	Idempotent *bool `toml:"idempotent"`
}

// Duration is a time.Duration that is encoded as text, such as 10s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if parsed < 0 || parsed > MaxDuration {
		return fmt.Errorf("%s is not between 0 and %s", parsed, MaxDuration)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// ReadRun reads and checks a run file.
func ReadRun(path string) (*Run, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	run, err := ParseRun(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return run, nil
}

// ParseRun decodes and checks a run. It returns an error for an unknown key.
func ParseRun(raw []byte) (*Run, error) {
	run := &Run{Arrivals: Poisson, MaxInflight: 2000}
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(run); err != nil {
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			return nil, fmt.Errorf("unknown key: %s", strict.String())
		}
		return nil, err
	}
	return run, run.Check()
}

// Check returns an error that names the first invalid field.
func (r *Run) Check() error {
	if err := validator.New().Struct(r); err != nil {
		if invalid, ok := errors.AsType[validator.ValidationErrors](err); ok {
			field := invalid[0]
			return fmt.Errorf("%s: %v does not meet %s=%s", field.Namespace(), field.Value(), field.Tag(), field.Param())
		}
		return err
	}
	total := time.Duration(r.Warmup) + time.Duration(r.Duration)
	if queries := r.Rate * total.Seconds(); queries > MaxQueries {
		return fmt.Errorf("rate and duration: %.0f queries exceed the maximum of %d", queries, MaxQueries)
	}
	return nil
}

// CheckLoopback returns an error for the first URL whose host is not a loopback IP
// address. Host names are rejected as well.
func (r *Run) CheckLoopback() error {
	for _, raw := range r.URLs {
		parsed, err := url.Parse(raw)
		if err != nil {
			return fmt.Errorf("urls: %w", err)
		}
		ip := net.ParseIP(parsed.Hostname())
		if ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("urls: %s is not a loopback address; use --allow-remote to permit it", raw)
		}
	}
	return nil
}
