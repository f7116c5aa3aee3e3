// Package experiment compares ways of answering queries under the same load,
// against stand-ins in this process, and reports each way and the ratios between
// them.
//
// The arms of an experiment run one after the other, each against its own
// stand-ins, so that their ratios come from one run on one machine.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// Plan is the content of an experiment file.
type Plan struct {
	Name        string `toml:"name" validate:"required"`
	Description string `toml:"description" validate:"required"`
	// Workload configures the stand-ins.
	Workload Workload `toml:"workload"`
	// Policy overrides the fleet's defaults, as JSON.
	Policy string `toml:"policy" validate:"omitempty,json"`
	// Load is offered to every arm. An arm may override its rate.
	Load Load `toml:"load"`
	// Rounds is the number of times that the sequence of arms runs. Each round
	// is reported separately.
	Rounds   int          `toml:"rounds" validate:"min=1,max=20"`
	Arms     []Arm        `toml:"arm" validate:"min=1,max=12,unique=Name,dive"`
	Compares []Comparison `toml:"compare" validate:"dive"`
}

// Workload configures the stand-ins that each arm runs against.
type Workload struct {
	Services       int           `toml:"services" validate:"min=1,max=1400"`
	Replicas       int           `toml:"replicas" validate:"min=1,max=8"`
	Slots          int           `toml:"slots" validate:"min=1,max=64"`
	MaxConnections int           `toml:"max_connections" validate:"min=4,max=1024"`
	SetupCost      load.Duration `toml:"setup_cost"`
	QueueLimit     int           `toml:"queue_limit" validate:"min=0,max=100000"`
	Faults         Faults        `toml:"faults"`
}

// Load is the load offered to an arm.
type Load struct {
	Rate        float64       `toml:"rate" validate:"gt=0,max=100000"`
	Arrivals    string        `toml:"arrivals" validate:"oneof=constant poisson"`
	Warmup      load.Duration `toml:"warmup"`
	Duration    load.Duration `toml:"duration" validate:"required"`
	DeadlineMS  int           `toml:"deadline_ms" validate:"min=1"`
	MaxInflight int           `toml:"max_inflight" validate:"min=1,max=100000"`
	Seed        uint64        `toml:"seed"`
}

// Kinds of arms.
const (
	// Naive is hosts that send sub-requests directly to the targets, each over a
	// fixed share of every target's connections.
	Naive = "naive"
	// Core is the entry and dispatch roles of hosts, called in this process.
	Core = "core"
	// Tier is complete hosts in this process, queried over HTTP.
	Tier = "tier"
)

// Arm is one way of answering queries.
type Arm struct {
	Name string `toml:"name" validate:"required"`
	Kind string `toml:"kind" validate:"oneof=naive core tier"`
	// Hosts is the number of hosts; queries go to them in turn.
	Hosts int `toml:"hosts" validate:"min=1,max=16"`
	// Direct makes every host of a core arm dial every target itself and use an
	// equal share of its connections.
	Direct bool `toml:"direct"`
	// Groups splits the hosts of a core arm into groups whose host lists contain
	// only their own members, as in a network partition or with a stale host list.
	// Zero means one group.
	Groups int `toml:"groups" validate:"min=0,ltefield=Hosts"`
	// Rate overrides the rate of the load unless it is zero.
	Rate float64 `toml:"rate" validate:"min=0,max=100000"`
	// FaultAt is the time from the start of the warm-up until Faults are set on the
	// first FaultTargets targets.
	FaultAt      load.Duration `toml:"fault_at"`
	FaultTargets int           `toml:"fault_targets" validate:"min=0"`
	Faults       Faults        `toml:"faults"`
}

// Comparison puts a bound on one arm's value of a metric, or on the ratio between
// the values of two arms.
type Comparison struct {
	Name   string `toml:"name" validate:"required"`
	Metric string `toml:"metric" validate:"required"`
	Of     string `toml:"of" validate:"required"`
	// To is the arm whose value is the divisor. "best" selects the arm with the
	// highest value; if To is empty, the value of Of is not divided.
	To string `toml:"to"`
	// AtMost and AtLeast bound the value. Exactly one of them is set.
	AtMost  *float64 `toml:"at_most"`
	AtLeast *float64 `toml:"at_least"`
}

// Faults are a target's faults, written as JSON.
type Faults struct{ target.Faults }

// UnmarshalText implements encoding.TextUnmarshaler. It fails for unknown fields and
// for values that no target accepts.
func (f *Faults) UnmarshalText(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f.Faults); err != nil {
		return err
	}
	return f.Check()
}

// Read reads and checks an experiment file.
func Read(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plan, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return plan, nil
}

// Parse decodes and checks a plan. It returns an error for an unknown key.
func Parse(raw []byte) (*Plan, error) {
	plan := &Plan{Rounds: 1, Load: Load{Arrivals: load.Poisson, MaxInflight: 5000}}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(plan); err != nil {
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			return nil, fmt.Errorf("unknown key: %s", strict.String())
		}
		return nil, err
	}
	if err := validator.New().Struct(plan); err != nil {
		return nil, err
	}
	return plan, plan.checkComparisons()
}

// checkComparisons returns an error for the first comparison with an unknown arm,
// an unknown metric, or not exactly one bound.
func (p *Plan) checkComparisons() error {
	arms := map[string]bool{"": true, bestArm: true}
	for _, arm := range p.Arms {
		arms[arm.Name] = true
	}
	for _, c := range p.Compares {
		if !arms[c.Of] || c.Of == bestArm || !arms[c.To] {
			return fmt.Errorf("compare %q: of %q and to %q must name arms", c.Name, c.Of, c.To)
		}
		if _, known := metrics[c.Metric]; !known {
			return fmt.Errorf("compare %q: unknown metric %q", c.Name, c.Metric)
		}
		if (c.AtMost == nil) == (c.AtLeast == nil) {
			return fmt.Errorf("compare %q: exactly one of at_most and at_least must be set", c.Name)
		}
	}
	return nil
}

// shape returns the stand-ins' shape.
func (p *Plan) shape() fixture.Shape {
	w := &p.Workload
	shape := fixture.Generic("sweep", w.Services, w.Replicas)
	shape.Slots, shape.MaxConnections, shape.SetupCost = w.Slots, w.MaxConnections, time.Duration(w.SetupCost)
	return shape
}

// standins returns the options for an arm's stand-ins.
func (p *Plan) standins() cluster.Options {
	return cluster.Options{
		Shapes:     []fixture.Shape{p.shape()},
		Faults:     p.Workload.Faults.Faults,
		QueueLimit: p.Workload.QueueLimit,
		Seed:       p.Load.Seed,
	}
}

// run returns the load run for an arm.
func (p *Plan) run(arm *Arm) *load.Run {
	rate := p.Load.Rate
	if arm.Rate > 0 {
		rate = arm.Rate
	}
	return &load.Run{
		Name:        arm.Name,
		Rate:        rate,
		Arrivals:    p.Load.Arrivals,
		Warmup:      p.Load.Warmup,
		Duration:    p.Load.Duration,
		DeadlineMS:  p.Load.DeadlineMS,
		Seed:        p.Load.Seed,
		MaxInflight: p.Load.MaxInflight,
		Mix:         []load.Share{{Workload: "sweep", Weight: 1, Caller: "experiment", Body: `{"sweep":true}`}},
	}
}
